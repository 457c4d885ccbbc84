#pragma once

#include "scheduler_fixture.hpp"

#include <algorithm>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace berylhill::scheduler_test
{

inline constexpr std::chrono::seconds validity{2};

/// A cell of equal instances with 4 cores each, and a queue that requires
/// advice.
struct advised_cell : scheduler_fixture
{
    explicit advised_cell(std::size_t instances)
    {
        workload::cell_configuration configuration;
        workload::queue_spec queue;
        queue.name = "q";
        queue.service = "svc";
        queue.max_attempts = 2;
        queue.stretch = 2;
        queue.target_latency = std::chrono::seconds{20};
        queue.advice =
            workload::advice_spec{std::chrono::milliseconds{560},
                                  std::chrono::milliseconds{8}, validity};
        configuration.queues = {queue};
        queue.name = "free";
        queue.advice.reset();
        configuration.queues.push_back(queue);
        decisions.set_configuration(configuration);
        for (std::size_t n = 0; n < instances; ++n)
        {
            list(name(n));
            report(name(n));
        }
    }

    static std::string name(std::size_t n)
    {
        return "i-" + std::to_string(n);
    }

    /// Fills this many instances completely.
    void fill(std::size_t instances)
    {
        auto job = scheduler_fixture::job(
            900, static_cast<std::uint32_t>(instances), 4'000);
        job.queue = "free";
        job.steps[0].estimate_ms = 5'000;
        decisions.submit(job, 0, now);
        for (auto const& it : starts())
        {
            confirm(it);
        }
    }

    /// Ends all attempts on the given instances.
    void end_on(std::set<std::string> const& ids)
    {
        for (auto const& id : ids)
        {
            auto const& at = decisions.instances().all().at(id);
            std::vector<scheduler::ended_attempt_report> ended;
            for (auto const& [name, attempt] : at->attempts())
            {
                auto const number = std::uint64_t{ended.size()} + 1;
                ended.push_back(
                    {number, name, scheduler::end_reason::done, {}});
            }
            report(id, {}, ended);
        }
    }

    /// Ends all attempts.
    void end_all()
    {
        std::set<std::string> all;
        for (auto const& [id, at] : decisions.instances().all())
        {
            all.insert(id);
        }
        end_on(all);
    }

    std::vector<scheduler::advice_order> advice_requests()
    {
        std::vector<scheduler::advice_order> out;
        for (auto const& it : decide())
        {
            if (auto const* const request =
                    std::get_if<scheduler::advice_order>(&it);
                request != nullptr)
            {
                out.push_back(*request);
            }
        }
        return out;
    }

    /// Answers the request and allows the first `n` instances.
    void answer(scheduler::advice_order const& it, std::size_t n)
    {
        std::vector<scheduler::permission> allowed;
        for (std::size_t i = 0; i < std::min(n, it.instances.size()); ++i)
        {
            allowed.push_back({it.instances[i], "t"});
        }
        decisions.advice_answered(it.step, it.instances, allowed, validity,
                                  now);
    }
};

inline workload::job_spec gang(std::uint64_t id, std::uint32_t tasks)
{
    auto out = scheduler_fixture::job(id, tasks, 2'000);
    out.steps[0].gang = true;
    out.steps[0].estimate_ms = 5'000;
    return out;
}

} // namespace berylhill::scheduler_test

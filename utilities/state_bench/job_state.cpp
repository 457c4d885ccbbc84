#include "job_state.hpp"

#include <scheduler/scheduler.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <string>
#include <string_view>
#include <tuple>
#include <variant>
#include <vector>

namespace berylhill::state_bench
{

namespace
{

using stopwatch = std::chrono::steady_clock;

constexpr std::array<std::uint32_t, 3> s_tasks{10, 1'000, 20'000};
constexpr std::array<std::uint32_t, 3> s_occurrences{1, 200, 10'000};
constexpr std::uint32_t s_most_tasks_per_step = 10'000;
constexpr std::uint32_t s_tasks_per_instance = 1'000;

/// Of a job that is repeated.
constexpr std::uint32_t s_small_step = 10;

class no_log final : public scheduler::decision_log
{
public:
    void write(base::log_level,
               std::string_view,
               std::initializer_list<base::log_field>) override
    {
    }
};

/// What one batch costs. A value.
struct batch_cost
{
    std::size_t bytes{0};
    double us{0};
};

workload::job_spec job_of(std::uint32_t tasks, std::uint32_t occurrences)
{
    workload::job_spec out;
    out.id = {1};
    out.queue = "q";
    for (std::uint32_t left = tasks; left > 0;)
    {
        workload::step_spec step;
        step.tasks = std::min(left, s_most_tasks_per_step);
        step.need = {1, 0, 0};
        step.estimate_ms = 1'000;
        left -= step.tasks;
        out.steps.push_back(step);
    }
    out.repeats = {occurrences, 0, occurrences == 0 ? 0 : 1};
    return out;
}

/// A cell whose instances start and end what the measurement says.
class one_job_cell
{
public:
    explicit one_job_cell(workload::job_spec const& it)
        : m_decisions{long_lived(), m_log, m_now}
    {
        workload::cell_configuration configuration;
        workload::queue_spec queue;
        queue.name = "q";
        queue.service = "svc";
        configuration.queues = {queue};
        m_decisions.set_configuration(configuration);
        std::uint32_t tasks = 0;
        for (auto const& step : it.steps)
        {
            tasks += step.tasks;
        }
        for (std::uint32_t n = 0; n * s_tasks_per_instance < tasks; ++n)
        {
            list("i-" + std::to_string(n));
        }
        m_decisions.submit(it, 0, m_now);
        (void)store();
    }

    /// Opens the next occurrence if there is one, and starts its tasks.
    std::vector<scheduler::start_order> start(std::int64_t wall_ms)
    {
        m_decisions.ownership_confirmed(m_now);
        m_decisions.tick(wall_ms, m_now);
        std::vector<scheduler::start_order> out;
        do
        {
            m_decisions.decide(m_now);
            (void)store();
            for (auto const& it : m_decisions.take_orders())
            {
                if (auto const* const start =
                        std::get_if<scheduler::start_order>(&it))
                {
                    out.push_back(*start);
                }
            }
        } while (!m_decisions.round_complete());
        return out;
    }

    /// Stores the end of one task.
    batch_cost end(scheduler::start_order const& it)
    {
        m_decisions.hold_answered(
            {it.instance,
             m_now,
             m_now,
             1,
             {},
             {{++m_last_end, it.attempt, scheduler::end_reason::done, {}}}});
        return store();
    }

private:
    static scheduler::policy long_lived()
    {
        scheduler::policy out;
        out.max_entry_age = std::chrono::hours{1};
        return out;
    }

    void list(std::string const& id)
    {
        scheduler::instance_info info;
        info.id = id;
        info.address = id;
        info.service = "svc";
        info.capacity = {s_tasks_per_instance, 1, 0};
        m_decisions.instance_listed(info, m_now, m_now);
        m_decisions.hold_answered({id, m_now, m_now, 1, {}, {}});
    }

    batch_cost store()
    {
        batch_cost out;
        auto const began = stopwatch::now();
        auto const records = m_decisions.take_batch(m_now);
        out.us =
            std::chrono::duration<double, std::micro>(stopwatch::now() - began)
                .count();
        for (auto const& it : records)
        {
            out.bytes += it.key.size() + it.value.size();
        }
        m_decisions.batch_stored(m_now);
        return out;
    }

    base::instant m_now{std::chrono::seconds{100}};
    no_log m_log;
    scheduler::scheduler m_decisions;
    std::uint64_t m_last_end{0};
};

void print(std::string const& name, batch_cost const& it)
{
    std::printf("%s.bytes=%zu bytes\n", name.c_str(), it.bytes);
    std::printf("%s.batch=%.4g us\n", name.c_str(), it.us);
}

/// The median by time of several ends.
batch_cost median_of(one_job_cell& cell,
                     std::vector<scheduler::start_order> const& started)
{
    std::vector<batch_cost> costs;
    costs.reserve(started.size());
    for (auto const& it : started)
    {
        costs.push_back(cell.end(it));
    }
    auto const middle = costs.begin() + std::ssize(costs) / 2;
    std::ranges::nth_element(costs, middle, {}, &batch_cost::us);
    return *middle;
}

} // namespace

void measure_job_state()
{
    constexpr std::size_t measured = 9;
    for (auto const tasks : s_tasks)
    {
        one_job_cell cell{job_of(tasks, 0)};
        auto started = cell.start(0);
        started.resize(std::min(started.size(), measured));
        print("job_state.tasks_" + std::to_string(tasks),
              median_of(cell, started));
    }
    auto const last = s_occurrences.back();
    one_job_cell cell{job_of(s_small_step, last + 1)};
    for (std::uint32_t n = 0; n <= last; ++n)
    {
        auto started = cell.start(n);
        auto const measure =
            std::ranges::find(s_occurrences, n) != s_occurrences.end();
        if (!measure)
        {
            for (auto const& it : started)
            {
                (void)cell.end(it);
            }
            continue;
        }
        auto const final_end = started.back();
        started.pop_back();
        print("job_state.occurrences_" + std::to_string(n),
              median_of(cell, started));
        (void)cell.end(final_end);
    }
}

} // namespace berylhill::state_bench

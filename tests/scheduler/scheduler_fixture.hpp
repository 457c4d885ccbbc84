#pragma once

#include "trace_log.hpp"

#include <scheduler/scheduler.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace berylhill::scheduler_test
{

/// A scheduler driven step by step: the test acts as the store and the
/// instances.
class scheduler_fixture
{
public:
    explicit scheduler_fixture(
        std::map<std::string, std::string> const& stored = {},
        scheduler::policy const& rules = scheduler_fixture::rules(),
        base::instant from = base::instant{std::chrono::seconds{100}},
        workload::cell_configuration const& configuration =
            scheduler_fixture::configuration("svc", {}))
        : now{from}
        , m_log{[]
                {
                    return 0.0;
                }}
        , decisions{rules, m_log, now}
    {
        decisions.set_configuration(configuration);
        decisions.restore(stored, 0, now);
        records = stored;
    }

    /// Entries of the endpoint list stay valid: most tests list an instance
    /// once.
    [[nodiscard]] static scheduler::policy rules()
    {
        scheduler::policy out;
        out.max_entry_age = std::chrono::hours{1};
        return out;
    }

    [[nodiscard]] static workload::job_spec
    job(std::uint64_t id, std::uint32_t tasks, std::int64_t cpu = 1'000)
    {
        workload::job_spec out;
        out.id = {id};
        out.queue = "q";
        out.payload = "p";
        workload::step_spec step;
        step.tasks = tasks;
        step.need = {cpu, 100, 0};
        step.estimate_ms = 1'000;
        out.steps = {step};
        return out;
    }

    /// A configuration in which the queue's tasks run on the instances of this
    /// service. It names these services besides.
    [[nodiscard]] static workload::cell_configuration
    configuration(std::string const& service,
                  std::vector<std::string> const& others = {})
    {
        workload::cell_configuration out;
        workload::queue_spec queue;
        queue.name = "q";
        queue.service = service;
        queue.max_attempts = 2;
        queue.stretch = 2;
        out.queues = {queue};
        for (auto const& it : others)
        {
            out.services.emplace_back().name = it;
        }
        return out;
    }

    /// Puts such a configuration in force.
    void move_queue(std::string const& service)
    {
        decisions.set_configuration(configuration(service));
    }

    /// Lists an instance. With `stays_for`, it drains and leaves after that
    /// time.
    void list(std::string const& id,
              std::string const& address = {},
              std::optional<base::duration> stays_for = std::nullopt)
    {
        auto info = entry_of(id);
        info.draining = stays_for.has_value();
        info.min_stay = stays_for;
        info.address = address.empty() ? id : address;
        decisions.instance_listed(info, now, now);
    }

    /// Lists an instance whose entry was written at that time.
    void list_written(std::string const& id, base::instant at)
    {
        decisions.instance_listed(entry_of(id), at, now);
    }

    /// Lists an instance of a service, with its kind.
    void list_as(std::string const& id,
                 std::string const& service,
                 std::string const& kind)
    {
        auto info = entry_of(id);
        info.service = service;
        info.labels = {kind, "rack"};
        decisions.instance_listed(info, now, now);
    }

    /// Lists an instance of a service at an address.
    void list_at(std::string const& id,
                 std::string const& service,
                 std::string const& address)
    {
        auto info = entry_of(id);
        info.service = service;
        info.address = address;
        decisions.instance_listed(info, now, now);
    }

    /// Delivers a report that was requested now.
    void report(std::string const& id,
                std::vector<scheduler::running_attempt_report> running = {},
                std::vector<scheduler::ended_attempt_report> ended = {})
    {
        decisions.hold_answered(
            {id, now, now, clock_ms(), std::move(running), std::move(ended)});
    }

    /// Runs a round and returns the orders that need no stored record.
    [[nodiscard]] std::vector<scheduler::order> decide()
    {
        decisions.decide(now);
        return decisions.take_orders();
    }

    /// Stores the next batch and returns the orders that waited for it.
    [[nodiscard]] std::vector<scheduler::order> store()
    {
        for (auto const& it : decisions.take_batch(now))
        {
            if (it.value.empty())
            {
                records.erase(it.key);
            }
            else
            {
                records[it.key] = it.value;
            }
        }
        decisions.batch_stored(now);
        return decisions.take_orders();
    }

    /// Runs a round, stores the batch and returns the start orders.
    [[nodiscard]] std::vector<scheduler::start_order> starts()
    {
        std::vector<scheduler::start_order> out;
        auto orders = decide();
        auto const stored = store();
        orders.insert(orders.end(), stored.begin(), stored.end());
        for (auto const& it : orders)
        {
            if (auto const* const start =
                    std::get_if<scheduler::start_order>(&it);
                start != nullptr)
            {
                out.push_back(*start);
            }
        }
        return out;
    }

    /// Delivers the answer to one order.
    void answer(scheduler::start_order const& it, scheduler::start_answer what)
    {
        auto const read = what == scheduler::start_answer::unanswered ||
                          what == scheduler::start_answer::other_incarnation;
        decisions.start_answered(
            {it.instance, it.attempt, it.send, what, read ? 0 : clock_ms()},
            now);
    }

    void confirm(scheduler::start_order const& it)
    {
        answer(it, scheduler::start_answer::running);
    }

    /// The store confirms the ownership all the while.
    void advance(base::duration by)
    {
        now += by;
        decisions.ownership_confirmed(now);
    }

    /// Nothing confirms the ownership meanwhile.
    void advance_unconfirmed(base::duration by)
    {
        now += by;
    }

    [[nodiscard]] std::int64_t clock_ms() const
    {
        return now.time_since_epoch().count() / 1'000;
    }

    base::instant now;

private:
    [[nodiscard]] static scheduler::instance_info
    entry_of(std::string const& id)
    {
        scheduler::instance_info out;
        out.id = id;
        out.service = "svc";
        out.address = id;
        out.capacity = {4'000, 4'000, 0};
        out.labels = {"kind", "rack"};
        return out;
    }

    trace_log m_log;

public:
    scheduler::scheduler decisions;
    std::map<std::string, std::string> records;
};

template <class Order>
[[nodiscard]] std::size_t count_of(std::vector<scheduler::order> const& it)
{
    return static_cast<std::size_t>(
        std::ranges::count_if(it, [](auto const& each)
                              { return std::holds_alternative<Order>(each); }));
}

} // namespace berylhill::scheduler_test

#include "fake_cell.hpp"

#include <utility>

namespace berylhill::placement_test
{

namespace
{

constexpr base::duration s_hold_time{2'000'000};

} // namespace

fake_cell::fake_cell(std::size_t n)
{
    for (std::size_t index = 0; index < n; ++index)
    {
        queues.emplace_back(index + 1);
    }
}

void fake_cell::add_worker(std::string const& group,
                           std::string const& worker,
                           model::resources const& capacity)
{
    auto const zone = "zone-" + std::string(1, group.back());
    model::endpoint it;
    it.id = worker;
    it.capacity = capacity;
    it.zone = zone;
    it.rack = group;
    ledgers.try_emplace(group, group, zone, group)
        .first->second.set_worker(it, now);
}

void fake_cell::add_contract(model::contract const& it)
{
    for (auto& queue : queues)
    {
        queue.set_contract(it);
    }
}

void fake_cell::step(std::int32_t max_holds)
{
    for (auto& [name, ledger] : ledgers)
    {
        ledger.expire_holds(now);
    }
    for (std::size_t n = 0; n < queues.size(); ++n)
    {
        for (auto const& [name, ledger] : ledgers)
        {
            queues[n].update_group(ledger.digest(), now);
        }
        execute(n, queues[n].decide(now, max_holds));
    }
}

void fake_cell::execute(std::size_t queue, placement::queue_actions actions)
{
    while (!actions.empty())
    {
        actions = deliver(queue, actions);
    }
}

placement::queue_actions
fake_cell::deliver(std::size_t queue, placement::queue_actions const& actions)
{
    placement::queue_actions next;
    for (auto const& it : actions.reservations)
    {
        ledgers.at(it.group).reserve(it.job, it.frees_at, it.until, now);
    }
    for (auto const& it : actions.releases)
    {
        ledgers.at(it.group).release(it.attempt, now);
        if (running.erase(it.attempt) > 0)
        {
            ledgers.at(it.group).on_finished(it.attempt,
                                             model::task_end::stopped, now);
            next.append(queues[queue].on_finished(
                {it.attempt, model::task_end::stopped, {}, {}, 0, {}}, now));
        }
    }
    for (auto const& it : actions.resizes)
    {
        ledgers.at(it.group).resize(it.attempt, it.need);
    }
    for (auto const& it : actions.holds)
    {
        execute_hold(queue, it, next);
    }
    for (auto const& it : actions.commits)
    {
        start(queue, it.group, it.attempt, next);
    }
    for (auto const& it : actions.outcomes)
    {
        outcomes[it.job] = it.state;
    }
    return next;
}

void fake_cell::execute_hold(std::size_t queue,
                             placement::hold_order const& order,
                             placement::queue_actions& next)
{
    auto& ledger = ledgers.at(order.group);
    auto const attempt = order.request.attempt;
    auto const found = ledger.hold(order.request, now + s_hold_time, now);
    for (auto const& it : found.actions)
    {
        checkpoints.push_back(it.attempt);
    }
    if (found.answer.state != placement::hold_state::held)
    {
        refusals += 1;
        next.append(queues[queue].on_refused(attempt, found.answer.state, now));
    }
    else if (order.mode == placement::hold_mode::start)
    {
        start(queue, order.group, attempt, next);
    }
    else
    {
        next.append(queues[queue].on_held(attempt, order.group, now));
    }
}

void fake_cell::start(std::size_t queue,
                      std::string const& group,
                      model::attempt_id const& attempt,
                      placement::queue_actions& next)
{
    auto const order = ledgers.at(group).commit(attempt, now);
    if (!order)
    {
        next.append(queues[queue].on_refused(attempt,
                                             placement::hold_state::full, now));
        return;
    }
    running[attempt] = group;
    owner[attempt] = queue;
    auto const known = actual_peaks.find(order->start.name);
    peaks[attempt] =
        known == actual_peaks.end() ? order->start.planned : known->second;
    next.append(queues[queue].on_started(attempt, group, now));
    if (on_start)
    {
        on_start(*order);
    }
}

// The attempt is passed by value because callers pass keys of `running`, which
// are erased here.
void fake_cell::end(model::attempt_id attempt, model::task_end result)
{
    auto const it = running.find(attempt);
    if (it == running.end())
    {
        return;
    }
    auto& ledger = ledgers.at(it->second);
    auto const worker = ledger.worker_of(attempt);
    ledger.on_finished(attempt, result, now);
    running.erase(it);
    auto const queue = owner.at(attempt);
    execute(queue,
            queues[queue].on_finished(
                {attempt, result, worker, peaks.at(attempt), 10, {}}, now));
}

bool fake_cell::no_worker_is_overcommitted() const
{
    for (auto const& [name, ledger] : ledgers)
    {
        for (auto const& it : ledger.worker_summaries())
        {
            if (!it.charged.fits_in(it.capacity))
            {
                return false;
            }
        }
    }
    return true;
}

model::contract unlimited_contract(std::string const& name)
{
    model::contract it;
    it.name = name;
    it.quota = {100'000'000, 1'000'000'000, 1'000};
    it.urgent_quota = it.quota;
    it.jobs_at_once = 1'000'000;
    it.tasks_at_once = 1'000'000;
    return it;
}

model::job_request request_of(std::string const& contract,
                              std::string const& name,
                              model::resources const& declared)
{
    model::job_request it;
    it.contract = contract;
    it.name = name;
    it.declared = declared;
    return it;
}

} // namespace berylhill::placement_test

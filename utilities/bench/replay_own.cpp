#include "replay_schedulers.hpp"

#include <cstdio>

namespace berylhill::bench
{

namespace
{

constexpr base::duration s_hold_span{2'000'000};
constexpr std::int32_t s_most = 1'000'000;
constexpr std::uint64_t s_seed = 11;

base::instant instant_of(double now_s)
{
    return base::instant{base::from_seconds(1'000 + now_s)};
}

std::string group_of(replay_input const& input, std::int32_t worker)
{
    return "rack-" + std::to_string(worker / input.rack_size);
}

model::attempt_id attempt_of(replay_start const& it)
{
    return {{std::to_string(it.job), it.index}, it.number};
}

} // namespace

own_scheduler::own_scheduler(replay_input const& input)
    : m_input{input}
    , m_queue{s_seed}
{
    for (std::int32_t n = 0; n < input.workers; ++n)
    {
        model::endpoint it;
        it.id = std::to_string(n);
        it.capacity = input.capacity;
        auto const group = group_of(input, n);
        m_ledgers.try_emplace(group, group, "zone", group)
            .first->second.set_worker(it, instant_of(0));
    }
    for (auto const& it : input.contracts)
    {
        m_queue.set_contract(it);
    }
    for (auto const& [name, ledger] : m_ledgers)
    {
        m_queue.update_group(ledger.digest(), instant_of(0));
    }
}

placement::group_ledger& own_scheduler::ledger_of(std::int32_t worker)
{
    return m_ledgers.at(group_of(m_input, worker));
}

void own_scheduler::submit(std::int32_t job, double now_s)
{
    auto const& it = m_input.jobs[static_cast<std::size_t>(job)].request;
    auto const taken = base::capture(
        [&]
        { return m_queue.submit(std::to_string(job), it, instant_of(now_s)); });
    if (!taken)
    {
        std::fprintf(stderr, "%s\n", taken.error().message.c_str());
    }
}

std::vector<replay_start> own_scheduler::decide(double now_s)
{
    auto const now = instant_of(now_s);
    for (auto& [name, ledger] : m_ledgers)
    {
        ledger.expire_holds(now);
        m_queue.update_group(ledger.digest(), now);
    }
    carry_out(m_queue.decide(now, s_most), now);
    return std::exchange(m_starts, {});
}

void own_scheduler::carry_out(placement::queue_actions actions,
                              base::instant now)
{
    while (!actions.empty())
    {
        placement::queue_actions next;
        for (auto const& it : actions.reservations)
        {
            m_ledgers.at(it.group).reserve(it.job, it.frees_at, it.until, now);
        }
        for (auto const& it : actions.releases)
        {
            for (auto const& stop :
                 m_ledgers.at(it.group).release(it.attempt, now))
            {
                m_stops.insert(stop.attempt);
            }
        }
        for (auto const& it : actions.resizes)
        {
            m_ledgers.at(it.group).resize(it.attempt, it.need);
        }
        for (auto const& it : actions.holds)
        {
            carry_out_hold(it, next, now);
        }
        for (auto const& it : actions.commits)
        {
            start(it.group, it.attempt, next, now);
        }
        actions = std::move(next);
    }
}

void own_scheduler::carry_out_hold(placement::hold_order const& order,
                                   placement::queue_actions& next,
                                   base::instant now)
{
    auto& ledger = m_ledgers.at(order.group);
    auto const attempt = order.request.attempt;
    auto const found = ledger.hold(order.request, now + s_hold_span, now);
    for (auto const& it : found.actions)
    {
        m_checkpoints.insert(it.attempt);
    }
    if (found.answer.state != placement::hold_state::held)
    {
        next.append(m_queue.on_refused(attempt, found.answer.state, now));
    }
    else if (order.mode == placement::hold_mode::start)
    {
        start(order.group, attempt, next, now);
    }
    else
    {
        next.append(m_queue.on_held(attempt, order.group, now));
    }
}

void own_scheduler::start(std::string const& group,
                          model::attempt_id const& attempt,
                          placement::queue_actions& next,
                          base::instant now)
{
    auto const order = m_ledgers.at(group).commit(attempt, now);
    if (!order)
    {
        next.append(
            m_queue.on_refused(attempt, placement::hold_state::full, now));
        return;
    }
    m_starts.push_back({std::stoi(attempt.task.job), attempt.task.index,
                        attempt.number, std::stoi(order->worker)});
    next.append(m_queue.on_started(attempt, group, now));
}

void own_scheduler::ended(replay_task const& it,
                          model::task_end end,
                          double now_s)
{
    auto const now = instant_of(now_s);
    auto const attempt = attempt_of(it.start);
    m_stops.erase(attempt);
    ledger_of(it.start.worker).on_finished(attempt, end, now);
    carry_out(m_queue.on_finished({attempt,
                                   end,
                                   std::to_string(it.start.worker),
                                   it.largest,
                                   now_s - it.started_s,
                                   {}},
                                  now),
              now);
}

void own_scheduler::report(std::int32_t worker,
                           std::vector<replay_task*> tasks,
                           double now_s)
{
    std::vector<platform::running_task> running;
    std::map<model::attempt_id, replay_task*> by_attempt;
    for (auto* it : tasks)
    {
        auto const& request =
            m_input.jobs[static_cast<std::size_t>(it->start.job)].request;
        auto const attempt = attempt_of(it->start);
        running.push_back({attempt, request.contract, request.name,
                           request.declared, it->reported});
        by_attempt[attempt] = it;
        it->stop |= m_stops.erase(attempt) > 0;
        it->checkpoint |= m_checkpoints.erase(attempt) > 0;
        m_queue.on_usage(attempt, it->reported);
    }
    auto const actions = ledger_of(worker).on_report(
        std::to_string(worker), running, instant_of(now_s));
    for (auto const& it : actions)
    {
        auto const found = by_attempt.find(it.attempt);
        if (found == by_attempt.end())
        {
            continue;
        }
        if (it.kind == placement::ledger_action_kind::throttle)
        {
            found->second->share = it.share;
        }
        else
        {
            found->second->checkpoint = true;
        }
    }
}

} // namespace berylhill::bench

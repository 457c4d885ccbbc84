#include <placement/group_ledger.hpp>

#include <algorithm>
#include <cassert>
#include <utility>

namespace berylhill::placement
{

namespace
{

constexpr std::int32_t s_max_ended = 1024;

} // namespace

group_ledger::group_ledger(std::string group,
                           std::string zone,
                           std::string rack)
    : m_group{std::move(group)}
    , m_zone{std::move(zone)}
    , m_rack{std::move(rack)}
{
}

void group_ledger::set_worker(model::endpoint const& it, base::instant now)
{
    m_workers[it.id].listed = it;
    advance_time(now);
}

std::vector<model::attempt_id>
group_ledger::remove_worker(std::string const& worker)
{
    auto const it = m_workers.find(worker);
    if (it == m_workers.end())
    {
        return {};
    }
    std::vector<model::attempt_id> lost{it->second.tasks.begin(),
                                        it->second.tasks.end()};
    for (auto const& attempt : lost)
    {
        m_tasks.erase(attempt);
    }
    m_workers.erase(it);
    return lost;
}

void group_ledger::set_unresponsive(std::string const& worker,
                                    bool is_unresponsive)
{
    auto const it = m_workers.find(worker);
    if (it != m_workers.end())
    {
        it->second.unresponsive = is_unresponsive;
    }
}

void group_ledger::set_cell_failure_rate(double rate)
{
    m_cell_failure_rate = rate;
}

std::optional<start_order>
group_ledger::commit(model::attempt_id const& attempt, base::instant now)
{
    auto const it = m_tasks.find(attempt);
    if (it == m_tasks.end() || it->second.phase != allocation_phase::held)
    {
        return std::nullopt;
    }
    if (now >= it->second.expires_at)
    {
        erase(attempt);
        return std::nullopt;
    }
    auto& held = it->second;
    held.phase = allocation_phase::committed;
    unreserve(attempt.task.job);
    held.since = now;
    start_order order;
    order.worker = held.worker;
    order.start.attempt = attempt;
    order.start.contract = held.request.contract;
    order.start.name = held.request.name;
    order.start.planned = held.request.need;
    order.start.command = held.request.command;
    return order;
}

std::vector<ledger_action>
group_ledger::release(model::attempt_id const& attempt, base::instant /*now*/)
{
    auto const it = m_tasks.find(attempt);
    if (it == m_tasks.end())
    {
        return {};
    }
    if (it->second.phase == allocation_phase::held)
    {
        erase(attempt);
        return {};
    }
    it->second.phase = allocation_phase::stopping;
    return {{ledger_action_kind::stop, it->second.worker, attempt, 1}};
}

void group_ledger::adopt(std::string const& worker,
                         platform::running_task const& running,
                         base::instant now)
{
    auto const it = m_workers.find(worker);
    if (it == m_workers.end() || m_tasks.contains(running.attempt))
    {
        return;
    }
    task_state adopted_task;
    adopted_task.request.attempt = running.attempt;
    adopted_task.request.contract = running.contract;
    adopted_task.request.name = running.name;
    adopted_task.request.need = running.planned;
    adopted_task.phase = allocation_phase::running;
    adopted_task.peak = running.used;
    adopted_task.used = running.used;
    adopted_task.since = now;
    adopted_task.adopted = true;
    place(it->second, std::move(adopted_task));
}

void group_ledger::on_finished(model::attempt_id const& attempt,
                               model::task_end end,
                               base::instant now)
{
    auto const it = m_tasks.find(attempt);
    if (it == m_tasks.end())
    {
        return;
    }
    auto const& ended = it->second;
    auto& host = m_workers.at(ended.worker);
    auto const failed = end == model::task_end::failed;
    if (failed || end == model::task_end::succeeded)
    {
        auto const name = ended.request.contract + '/' + ended.request.name;
        auto const failure_probability = m_history.failure_probability(
            name, ended.worker, m_cell_failure_rate);
        host.health_state.on_attempt_ended(failed, failure_probability, now);
        m_history.add(name, ended.worker, failed);
        m_ended += 1;
        m_failed += failed ? 1 : 0;
        if (m_ended >= s_max_ended)
        {
            m_ended /= 2;
            m_failed /= 2;
        }
    }
    else
    {
        host.health_state.on_attempt_removed();
    }
    erase(attempt);
}

std::vector<ledger_action>
group_ledger::on_report(std::string const& worker,
                        std::vector<platform::running_task> const& running,
                        base::instant now,
                        std::set<model::attempt_id> const& late_starts)
{
    advance_time(now);
    auto const found = m_workers.find(worker);
    if (found == m_workers.end())
    {
        return {};
    }
    auto& host = found->second;
    host.unresponsive = false;
    std::set<model::attempt_id> reported;
    for (auto const& it : running)
    {
        reported.insert(it.attempt);
        adopt(worker, it, now);
        auto& known = m_tasks.at(it.attempt);
        update_usage(known, it.used);
        if (known.phase == allocation_phase::held ||
            known.phase == allocation_phase::committed)
        {
            known.phase = allocation_phase::running;
        }
    }
    std::vector<ledger_action> actions;
    auto const tasks = host.tasks;
    for (auto const& it : tasks)
    {
        auto const phase = m_tasks.at(it).phase;
        auto const starts_late =
            phase == allocation_phase::stopping && late_starts.contains(it);
        if (reported.contains(it) || phase == allocation_phase::held ||
            phase == allocation_phase::committed || starts_late)
        {
            continue;
        }
        actions.push_back({ledger_action_kind::lost, worker, it, 1});
        host.health_state.on_attempt_removed();
        erase(it);
    }
    auto const overuse_actions = act_on_overuse(host);
    actions.insert(actions.end(), overuse_actions.begin(),
                   overuse_actions.end());
    return actions;
}

std::vector<ledger_action> group_ledger::act_on_overuse(worker_state& host)
{
    std::vector<task_use> uses;
    for (auto const& attempt : host.tasks)
    {
        auto const& it = m_tasks.at(attempt);
        uses.push_back(
            {attempt, it.request.need, it.used, it.request.urgent,
             it.request.safety, it.since, it.throttled,
             it.checkpointing || it.phase == allocation_phase::stopping});
    }
    auto actions = actions_against_overuse(host.listed.id, host.listed.capacity,
                                           std::move(uses));
    for (auto const& it : actions)
    {
        auto& known = m_tasks.at(it.attempt);
        known.throttled |= it.kind == ledger_action_kind::throttle;
        known.checkpointing |= it.kind == ledger_action_kind::checkpoint;
    }
    return actions;
}

std::vector<model::attempt_id> group_ledger::expire_holds(base::instant now)
{
    advance_time(now);
    std::vector<model::attempt_id> expired;
    for (auto const& [attempt, it] : m_tasks)
    {
        if (it.phase == allocation_phase::held && now >= it.expires_at)
        {
            expired.push_back(attempt);
        }
    }
    for (auto const& it : expired)
    {
        erase(it);
    }
    return expired;
}

bool group_ledger::reserve(std::string const& job,
                           base::instant frees_at,
                           base::instant until,
                           base::instant now)
{
    advance_time(now);
    if (m_reservation && m_reservation->job != job)
    {
        return false;
    }
    m_reservation = reservation{job, frees_at, until};
    return true;
}

void group_ledger::unreserve(std::string const& job)
{
    if (m_reservation && m_reservation->job == job)
    {
        m_reservation.reset();
    }
}

group_digest group_ledger::digest() const
{
    group_digest it;
    it.group = m_group;
    it.zone = m_zone;
    it.rack = m_rack;
    it.ended = m_ended;
    it.failed = m_failed;
    it.reserved_for = m_reservation ? m_reservation->job : "";
    double largest_free_share = -1;
    for (auto const& [id, host] : m_workers)
    {
        if (!accepts_tasks(host))
        {
            continue;
        }
        auto const capacity = host.listed.capacity;
        auto const free_capacity = free_for(host, {});
        it.workers += 1;
        it.total = it.total + capacity;
        it.free = it.free + free_capacity;
        it.largest_worker = model::largest_of(it.largest_worker, capacity);
        auto const used = dominant_share(capacity - free_capacity, capacity);
        if (1 - used > largest_free_share)
        {
            largest_free_share = 1 - used;
            it.largest_free = free_capacity;
        }
    }
    for (auto const& [attempt, placed] : m_tasks)
    {
        it.held += placed.phase == allocation_phase::held ? 1 : 0;
        it.running += placed.phase == allocation_phase::held ? 0 : 1;
        if (placed.request.preempted == model::preemption::by_checkpoint &&
            placed.request.urgent == model::urgency::normal &&
            placed.phase == allocation_phase::running && !placed.checkpointing)
        {
            it.preemptible = it.preemptible + placed.charge();
        }
    }
    return it;
}

std::vector<worker_summary> group_ledger::worker_summaries() const
{
    std::vector<worker_summary> all;
    for (auto const& [id, host] : m_workers)
    {
        worker_summary it;
        it.worker = id;
        it.capacity = host.listed.capacity;
        it.tasks = static_cast<std::int32_t>(host.tasks.size());
        it.state = host.health_state.state();
        it.leaving = host.listed.state == model::listed_state::leaving;
        for (auto const& attempt : host.tasks)
        {
            auto const& placed = m_tasks.at(attempt);
            it.planned = it.planned + placed.request.need;
            it.charged = it.charged + placed.charge();
        }
        assert(it.charged == host.charged);
        all.push_back(std::move(it));
    }
    return all;
}

std::string group_ledger::worker_of(model::attempt_id const& attempt) const
{
    auto const it = m_tasks.find(attempt);
    return it == m_tasks.end() ? std::string{} : it->second.worker;
}

void group_ledger::place(worker_state& host, task_state placed)
{
    auto const attempt = placed.request.attempt;
    placed.worker = host.listed.id;
    host.charged = host.charged + placed.charge();
    host.tasks.insert(attempt);
    m_tasks.emplace(attempt, std::move(placed));
}

void group_ledger::erase(model::attempt_id const& attempt)
{
    auto const it = m_tasks.find(attempt);
    if (it == m_tasks.end())
    {
        return;
    }
    auto& host = m_workers.at(it->second.worker);
    host.charged = host.charged - it->second.charge();
    host.tasks.erase(attempt);
    m_tasks.erase(it);
}

void group_ledger::update_usage(task_state& it, model::resources const& used)
{
    auto& host = m_workers.at(it.worker);
    host.charged = host.charged - it.charge();
    it.used = used;
    it.peak = model::largest_of(it.peak, used);
    host.charged = host.charged + it.charge();
}

void group_ledger::advance_time(base::instant now)
{
    for (auto& [id, host] : m_workers)
    {
        host.health_state.advance(now);
        if (host.claimed && now >= host.claimed->expires_at)
        {
            host.claimed.reset();
        }
    }
    if (m_reservation && now >= m_reservation->until)
    {
        m_reservation.reset();
    }
}

} // namespace berylhill::placement

#include <entry/worker_group_actor.hpp>

#include <base/log.hpp>
#include <entry/actor_guard.hpp>
#include <entry/entry_node.hpp>
#include <entry/unit.hpp>

#include <caf/all.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace berylhill::entry
{

namespace
{

constexpr base::duration s_end_by_themselves = std::chrono::seconds{3};
constexpr std::int32_t s_checkpoints_at_once = 4;
/// A worker that has not answered for this many heartbeats counts as silent.
constexpr std::int32_t s_quiet_heartbeats = 5;
constexpr auto s_tick = std::chrono::milliseconds{100};

std::string zone_of(std::string const& unit)
{
    auto const first = unit.find('/');
    auto const last = unit.rfind('/');
    return unit.substr(first + 1, last - first - 1);
}

std::string rack_of(std::string const& unit)
{
    return unit.substr(unit.rfind('/') + 1);
}

lease::lease_options lease_options(settings::worker_settings const& it)
{
    lease::lease_options out;
    out.length = base::from_seconds(it.lease_s);
    return out;
}

} // namespace

worker_group_actor::worker_group_actor(caf::actor_config& config,
                                       entry_node& self,
                                       std::string unit,
                                       std::int64_t epoch)
    : caf::event_based_actor{config}
    , m_node{self}
    , m_unit{std::move(unit)}
    , m_epoch{epoch}
    , m_begun{self.clock.now()}
    , m_ledger{m_unit, zone_of(m_unit), rack_of(m_unit)}
{
}

caf::behavior worker_group_actor::make_behavior()
{
    end_process_on_exception(*this);
    tick();
    return {
        [this](tick_atom) { tick(); },
        [this](unit_lost_atom) { quit(); },
        [this](group_orders_asked const& it) { take_orders(it); },
        [this](inventory_asked const& it) { give_inventory(it); },
        [this](work_left_asked const& it) { give_work_left(it); },
        [this](exchange_ended const& it) { take_answer(it); },
        [this](ends_taken const& it) { take_ends(it); },
    };
}

bool worker_group_actor::acting() const
{
    return m_node.owned.may_act(m_unit, m_node.clock.now()) == m_epoch;
}

void worker_group_actor::tick()
{
    delayed_send(this, s_tick, tick_atom::value);
    auto const now = m_node.clock.now();
    take_list(now);
    expire_holds(now);
    look_for_lapses(now);
    empty_leaving(now);
    exchange_due(now);
    report_ends();
    publish();
}

void worker_group_actor::take_list(base::instant now)
{
    auto const view = m_node.view.get();
    std::set<std::string> listed;
    std::int32_t ended = 0;
    std::int32_t failed = 0;
    for (auto const& it : view->endpoints)
    {
        if (it.kind == model::endpoint_kind::worker && unit_of(it) == m_unit)
        {
            listed.insert(it.id);
            add_worker(it, now);
        }
    }
    for (auto const& it : view->worker_groups)
    {
        ended += it.second.digest.ended;
        failed += it.second.digest.failed;
    }
    if (ended > 0)
    {
        m_ledger.set_cell_failure_rate(static_cast<double>(failed) / ended);
    }
    std::vector<std::string> gone;
    for (auto const& it : m_workers)
    {
        if (!listed.contains(it.first))
        {
            gone.push_back(it.first);
        }
    }
    for (auto const& it : gone)
    {
        drop_worker(it);
    }
    if (!m_barrier && !m_workers.empty())
    {
        std::map<std::string, base::instant> lapses_at;
        for (auto const& it : m_workers)
        {
            lapses_at.emplace(it.first, it.second.lease.expires_at());
        }
        m_barrier.emplace(std::move(lapses_at));
    }
}

void worker_group_actor::add_worker(model::endpoint const& it,
                                    base::instant now)
{
    auto const found = m_workers.find(it.id);
    if (found != m_workers.end())
    {
        if (found->second.listed == it)
        {
            return;
        }
        found->second.listed = it;
    }
    else
    {
        worker_state added{it,
                           lease::worker_lease{
                               lease_options(m_node.settings.workers), m_begun},
                           {},
                           false,
                           false,
                           now,
                           std::nullopt};
        m_workers.emplace(it.id, std::move(added));
    }
    m_ledger.set_worker(it, now);
}

/// The platform has dropped the instance, so nothing runs there any more.
void worker_group_actor::drop_worker(std::string const& worker)
{
    base::log(base::log_level::info, "worker_dropped", {{"worker", worker}});
    for (auto const& it : m_ledger.remove_worker(worker))
    {
        auto const started = m_attempts[it].at == phase::started;
        m_attempts.erase(it);
        if (started)
        {
            ended({it,
                   model::task_end::lapsed,
                   worker,
                   {},
                   0,
                   "the instance is gone"},
                  false);
        }
    }
    for (auto& it : m_ends)
    {
        if (it.second.end.worker == worker)
        {
            it.second.kept_by_worker = false;
        }
    }
    m_workers.erase(worker);
    if (m_barrier)
    {
        m_barrier->worker_removed(worker);
    }
}

void worker_group_actor::expire_holds(base::instant now)
{
    for (auto const& it : m_ledger.expire_holds(now))
    {
        m_attempts.erase(it);
    }
}

/// Guards against a task in two places: a silent worker's tasks are given up
/// only once their leases have run out on the worker's own clock, by when the
/// worker has stopped them whether or not it can be reached.
void worker_group_actor::look_for_lapses(base::instant now)
{
    auto const quiet = s_quiet_heartbeats *
                       base::from_seconds(m_node.settings.workers.heartbeat_s);
    for (auto& it : m_workers)
    {
        auto const answered = it.second.lease.last_answer_at();
        if (answered && now - *answered > quiet)
        {
            m_ledger.set_unresponsive(it.first, true);
        }
        if (it.second.lapse_seen || !it.second.lease.is_expired(now) ||
            !acting())
        {
            continue;
        }
        it.second.lapse_seen = true;
        base::log(base::log_level::warning, "worker_lapsed",
                  {{"worker", it.first}});
        std::vector<model::attempt_id> lost;
        for (auto const& counted : m_attempts)
        {
            if (counted.second.worker == it.first &&
                counted.second.at == phase::started)
            {
                lost.push_back(counted.first);
            }
        }
        for (auto const& attempt : lost)
        {
            it.second.outbox.forget(attempt);
            m_ledger.on_finished(attempt, model::task_end::lapsed, now);
            ended({attempt,
                   model::task_end::lapsed,
                   it.first,
                   {},
                   0,
                   "the worker went silent and its lease ran out"},
                  false);
        }
    }
}

/// A planned stop of a worker: short tasks end by themselves, what still runs
/// after a while is checkpointed a few at a time and goes on elsewhere.
void worker_group_actor::empty_leaving(base::instant now)
{
    for (auto& it : m_workers)
    {
        auto& state = it.second;
        if (state.listed.state != model::listed_state::leaving)
        {
            state.leaving_since.reset();
            continue;
        }
        if (!state.leaving_since)
        {
            state.leaving_since = now;
        }
        if (now - *state.leaving_since < s_end_by_themselves || !acting())
        {
            continue;
        }
        std::int32_t n = 0;
        for (auto const& counted : m_attempts)
        {
            if (counted.second.worker == it.first &&
                counted.second.at == phase::started &&
                n++ < s_checkpoints_at_once)
            {
                state.outbox.checkpoint(counted.first);
            }
        }
    }
}

void worker_group_actor::give_work_left(work_left_asked const& it)
{
    auto const n =
        std::count_if(m_attempts.begin(), m_attempts.end(),
                      [&](auto const& counted)
                      { return counted.second.worker == it.endpoint; });
    it.answer.set(std::int64_t{n});
}

void worker_group_actor::publish()
{
    m_node.digests.set(m_unit, worker_group_view{m_ledger.digest(),
                                                 m_node.incarnation, m_epoch});
}

} // namespace berylhill::entry

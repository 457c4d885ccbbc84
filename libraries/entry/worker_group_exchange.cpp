#include <entry/worker_group_actor.hpp>

#include <base/log.hpp>
#include <entry/entry_node.hpp>
#include <entry/unit.hpp>
#include <entry/unit_client.hpp>

#include <caf/all.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace berylhill::entry
{

namespace
{

/// A worker without tasks has no lease to renew; it is asked this many
/// heartbeats apart, which a lease outlasts.
constexpr std::int32_t s_idle_heartbeats = 3;
constexpr base::duration s_report_limit = std::chrono::seconds{3};
constexpr base::duration s_report_pause = std::chrono::milliseconds{500};

bool runs(platform::worker_answer const& answer, model::attempt_id const& it)
{
    return std::any_of(answer.running.begin(), answer.running.end(),
                       [&](auto const& task) { return task.attempt == it; });
}

bool has_ended(platform::worker_answer const& answer,
               model::attempt_id const& it)
{
    return std::any_of(answer.finished.begin(), answer.finished.end(),
                       [&](auto const& task) { return task.attempt == it; });
}

} // namespace

void worker_group_actor::exchange_due(base::instant now)
{
    for (auto& it : m_workers)
    {
        if (now >= it.second.due || it.second.outbox.urgent())
        {
            exchange(it.first, it.second);
        }
    }
}

void worker_group_actor::exchange(std::string const& worker, worker_state& it)
{
    if (it.exchanging)
    {
        return;
    }
    auto const now = m_node.clock.now();
    it.exchanging = true;
    it.due = now + base::from_seconds(m_node.settings.workers.heartbeat_s) *
                       (runs_anything(worker) ? 1 : s_idle_heartbeats);
    auto const until = it.lease.renew_until();
    auto const request = std::make_shared<platform::worker_request const>(
        it.outbox.request(m_epoch, until));
    it.lease.renewal_sent(until);
    auto const self = caf::actor_cast<caf::actor>(this);
    m_node.worker_io.post(
        [this_node = &m_node, self, unit = m_unit, epoch = m_epoch,
         endpoint = it.listed, worker, request]
        {
            auto const timeout =
                base::from_seconds(this_node->settings.workers.timeout_s);
            auto const sent_at = this_node->clock.now();
            // The process may have been paused since the request was made, and
            // another may own the group by now: the right is looked at here,
            // immediately before the send.
            auto const answer = base::capture(
                [&]() -> base::result<platform::worker_answer>
                {
                    if (this_node->owned.may_act(unit, sent_at) != epoch)
                    {
                        return base::fail(base::failure_code::superseded,
                                          "the right to act has lapsed");
                    }
                    return this_node->workers.exchange(endpoint, *request,
                                                       timeout);
                });
            caf::anon_send(self,
                           exchange_ended{worker, request, answer, sent_at,
                                          this_node->clock.now()});
        });
}

bool worker_group_actor::runs_anything(std::string const& worker) const
{
    return std::any_of(m_attempts.begin(), m_attempts.end(),
                       [&](auto const& it)
                       { return it.second.worker == worker; });
}

void worker_group_actor::take_answer(exchange_ended const& it)
{
    auto const found = m_workers.find(it.worker);
    if (found == m_workers.end())
    {
        return;
    }
    auto& state = found->second;
    state.exchanging = false;
    if (!it.answer)
    {
        if (it.answer.error().code == base::failure_code::outcome_unknown)
        {
            state.outbox.unanswered(*it.request);
        }
        else
        {
            state.outbox.not_taken();
        }
        base::log(
            base::log_level::debug, "worker_silent",
            {{"worker", it.worker}, {"cause", it.answer.error().message}});
        return;
    }
    auto const now = m_node.clock.now();
    auto const& answer = it.answer.value();
    auto const news = state.lease.answer_received(
        answer.incarnation, answer.clock, it.sent_at, it.received_at);
    if (news == lease::answer_status::stale)
    {
        state.outbox.unanswered(*it.request);
        return;
    }
    if (news == lease::answer_status::new_process)
    {
        state.outbox.process_replaced();
    }
    state.lapse_seen = false;
    state.outbox.taken(*it.request, answer.clock);
    take_finished(it.worker, answer, now);
    for (auto const& task : answer.running)
    {
        auto& counted = m_attempts[task.attempt];
        counted.worker = it.worker;
        counted.planned = task.planned;
        counted.at = phase::started;
    }
    perform(m_ledger.on_report(it.worker, answer.running, now,
                               state.outbox.late_starts()),
            now);
    settle_request(it.worker, *it.request, answer, now);
    if (m_barrier)
    {
        m_barrier->inventory_received(it.worker);
    }
    if (state.outbox.urgent())
    {
        exchange(it.worker, state);
    }
    report_ends();
}

void worker_group_actor::take_finished(std::string const& worker,
                                       platform::worker_answer const& answer,
                                       base::instant now)
{
    for (auto const& it : answer.finished)
    {
        if (m_workers.at(worker).outbox.acknowledges(it.attempt))
        {
            continue;
        }
        if (m_ends.contains(it.attempt))
        {
            m_ends.at(it.attempt).kept_by_worker = true;
            continue;
        }
        m_workers.at(worker).outbox.forget(it.attempt);
        m_ledger.on_finished(it.attempt, it.end, now);
        ended({it.attempt, it.end, worker, it.peak, it.run_s, it.detail}, true);
    }
}

/// A start that the worker took and that neither runs nor has ended was lost
/// with a process of the worker that began anew in between; a stop of what the
/// worker does not know is a stop of what was never sent, unless a start of it
/// may still come.
void worker_group_actor::settle_request(std::string const& worker,
                                        platform::worker_request const& request,
                                        platform::worker_answer const& answer,
                                        base::instant now)
{
    auto const settle = [&](model::attempt_id const& it, model::task_end end)
    {
        if (runs(answer, it) || has_ended(answer, it) ||
            !m_attempts.contains(it))
        {
            return;
        }
        m_ledger.on_finished(it, end, now);
        ended({it, end, worker, {}, 0, "the worker does not know it"}, false);
    };
    for (auto const& it : request.starts)
    {
        settle(it.attempt, model::task_end::lapsed);
    }
    auto const late = m_workers.at(worker).outbox.late_starts();
    for (auto const& it : request.stops)
    {
        if (!late.contains(it))
        {
            settle(it, model::task_end::stopped);
        }
    }
}

void worker_group_actor::perform(
    std::vector<placement::ledger_action> const& todo, base::instant now)
{
    static_cast<void>(now);
    for (auto const& it : todo)
    {
        auto const found = m_workers.find(it.worker);
        if (found == m_workers.end())
        {
            continue;
        }
        auto& outbox = found->second.outbox;
        switch (it.kind)
        {
        case placement::ledger_action_kind::throttle:
            outbox.throttle(it.attempt, it.share);
            break;
        case placement::ledger_action_kind::checkpoint:
            outbox.checkpoint(it.attempt);
            break;
        case placement::ledger_action_kind::stop:
            outbox.stop(it.attempt);
            break;
        case placement::ledger_action_kind::lost:
            outbox.forget(it.attempt);
            ended({it.attempt,
                   model::task_end::lapsed,
                   it.worker,
                   {},
                   0,
                   "the worker lost it"},
                  false);
            break;
        }
    }
}

void worker_group_actor::ended(placement::attempt_end const& end,
                               bool kept_by_worker)
{
    m_attempts.erase(end.attempt);
    m_ends.try_emplace(end.attempt, unreported{end, kept_by_worker});
}

void worker_group_actor::report_ends()
{
    auto const now = m_node.clock.now();
    std::map<std::string, ends_report> reports;
    for (auto const& it : m_ends)
    {
        auto const shard = shard_of_job(it.first.task.job);
        if (!shard)
        {
            continue;
        }
        auto const unit = jobs_unit(*shard);
        auto const after = m_report_after.find(unit);
        if (after != m_report_after.end() && now < after->second)
        {
            continue;
        }
        auto& report = reports[unit];
        report.unit = unit;
        report.group = m_unit;
        report.ends.push_back(it.second.end);
    }
    auto const self = caf::actor_cast<caf::actor>(this);
    for (auto const& it : reports)
    {
        // Until the answer comes, or for good measure a little longer than it
        // may take, no second report goes to the shard.
        m_report_after[it.first] = now + s_report_limit + s_report_pause;
        m_node.peer_io.post(
            [this_node = &m_node, self, report = it.second]
            {
                std::vector<model::attempt_id> reported;
                for (auto const& end : report.ends)
                {
                    reported.push_back(end.attempt);
                }
                auto const answer = base::capture(
                    [&]() -> base::result<ends_answer>
                    {
                        BOOST_LEAF_AUTO(value,
                                        call_unit(*this_node, report.unit,
                                                  "jobs.ends", to_json(report),
                                                  s_report_limit));
                        return ends_answer_from(value);
                    });
                caf::anon_send(self, ends_taken{reported, answer});
            });
    }
}

void worker_group_actor::take_ends(ends_taken const& it)
{
    auto const now = m_node.clock.now();
    if (!it.reported.empty())
    {
        auto const shard =
            shard_of_job(it.reported.front().task.job).value_or(0);
        m_report_after[jobs_unit(shard)] =
            it.answer ? now : now + s_report_pause;
    }
    if (!it.answer)
    {
        return;
    }
    auto const& answer = it.answer.value();
    for (auto const& attempt : answer.taken)
    {
        if (auto const shard = shard_of_job(attempt.task.job))
        {
            m_gate.ended(jobs_unit(*shard), attempt, answer.orders_sent);
        }
        auto const found = m_ends.find(attempt);
        if (found == m_ends.end())
        {
            continue;
        }
        auto const worker = m_workers.find(found->second.end.worker);
        if (found->second.kept_by_worker && worker != m_workers.end())
        {
            worker->second.outbox.acknowledge(attempt);
        }
        m_ends.erase(found);
    }
    if (!answer.taken.empty())
    {
        report_ends();
    }
}

} // namespace berylhill::entry

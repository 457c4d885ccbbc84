#include <scheduler/scheduler.hpp>

#include <algorithm>
#include <set>

namespace berylhill::scheduler
{

namespace
{

/// A report lists at most so many ends; a full one may lack some.
constexpr std::size_t ends_per_report = 500;

char const* text_of(end_reason it)
{
    switch (it)
    {
    case end_reason::done:
        return "done";
    case end_reason::failed:
        return "failed";
    case end_reason::stopped:
        return "stopped";
    case end_reason::lease_lapsed:
        return "lease_lapsed";
    case end_reason::broken:
        return "broken";
    case end_reason::alone:
        return "alone";
    }
    return "unknown";
}

} // namespace

void scheduler::reported(hold_report const& it)
{
    auto* const at = m_instances.find(it.instance);
    if (at == nullptr)
    {
        return;
    }
    if (!at->fenced() || !at->reachable())
    {
        m_log->write(base::log_level::info, "instance_reached",
                     {{"id", it.instance},
                      {"running", std::uint64_t{it.running.size()}},
                      {"ended", std::uint64_t{it.ended.size()}}});
    }
    at->reported(it.read_at, it.clock_ms);
    read_running(*at, it);
    read_ended(*at, it);
    drop_missing(*at, it);
}

/// An attempt that the owner does not want there is stopped, whoever started
/// it: an order of a cancelled job, or of a former owner, that was carried
/// out late.
void scheduler::read_running(instance& at, hold_report const& it)
{
    for (auto const& row : it.running)
    {
        auto* const known = at.find(row.attempt);
        if (known == nullptr)
        {
            m_log->write(base::log_level::warning, "stray_attempt",
                         {{"task", text_of(row.attempt.task)},
                          {"run", row.attempt.run},
                          {"instance", it.instance}});
            attempt stray;
            stray.state = attempt_state::running;
            auto* const job = m_jobs.find(row.attempt.task.of.job);
            if (job != nullptr &&
                row.attempt.task.of.step < job->spec().steps.size())
            {
                stray.need = job->spec_of(row.attempt.task.of).counted_need();
            }
            else
            {
                stray.need_known = false;
            }
            stray.settled_at = it.sent_at;
            auto& added = at.add(row.attempt, stray);
            want_stop(at, row.attempt, added, it.read_at);
            continue;
        }
        if (known->state != attempt_state::running)
        {
            known->state = attempt_state::running;
            known->began_at = it.read_at;
            known->progressed_at = it.read_at;
            known->settled_at = it.sent_at;
            if (!known->stop_wanted)
            {
                known->next_try.reset();
            }
            note_begun(row.attempt.task.of.job);
        }
        if (row.percent > known->percent)
        {
            known->percent = row.percent;
            known->progressed_at = it.read_at;
        }
        known->checkpoint = row.checkpoint;
    }
}

void scheduler::read_ended(instance& at, hold_report const& it)
{
    for (auto const& row : it.ended)
    {
        if (row.number <= at.seen_end())
        {
            continue;
        }
        auto& seen = m_open.seen_ends[it.instance];
        if (row.number <= seen)
        {
            continue;
        }
        seen = row.number;
        note_health(at, row.reason, it.read_at);
        attempt_ended(at, row.attempt, row.reason, row.checkpoint, it.read_at);
    }
}

/// What was settled before the report was asked for and is not in it has left
/// without an end: it never began, or its lease lapsed.
void scheduler::drop_missing(instance& at, hold_report const& it)
{
    if (it.ended.size() >= ends_per_report)
    {
        return;
    }
    std::set<attempt_name> named;
    for (auto const& row : it.running)
    {
        named.insert(row.attempt);
    }
    std::vector<attempt_name> missing;
    for (auto const& [name, known] : at.attempts())
    {
        if (known.settled_at && *known.settled_at < it.sent_at &&
            !named.contains(name))
        {
            missing.push_back(name);
        }
    }
    for (auto const& name : missing)
    {
        m_log->write(base::log_level::info, "attempt_not_there",
                     {{"task", text_of(name.task)},
                      {"run", name.run},
                      {"instance", it.instance}});
        attempt_ended(at, name, end_reason::lease_lapsed, {}, it.read_at);
    }
}

void scheduler::silent(std::string const& id, base::instant now)
{
    auto* const it = m_instances.find(id);
    if (it == nullptr || !it->reachable())
    {
        return;
    }
    it->set_unreachable();
    m_log->write(base::log_level::warning, "instance_unreachable",
                 {{"id", id},
                  {"attempts", std::uint64_t{it->attempts().size()}},
                  {"lease_left_s", base::seconds_of(it->lease_end() - now)}});
}

/// Takes an instance out of use that fails what it starts. A task's own fault
/// rarely fails several of its neighbours in a row.
void scheduler::note_health(instance& at, end_reason reason, base::instant now)
{
    if (reason == end_reason::done)
    {
        at.failures_in_a_row = 0;
        return;
    }
    if (reason != end_reason::failed ||
        ++at.failures_in_a_row < m_rules.failures_to_quarantine)
    {
        return;
    }
    at.failures_in_a_row = 0;
    at.pause(now + m_rules.quarantine);
    m_log->write(base::log_level::warning, "instance_quarantined",
                 {{"id", at.info().id}});
}

void scheduler::attempt_ended(instance& at,
                              attempt_name const& name,
                              end_reason reason,
                              std::string const& checkpoint,
                              base::instant now)
{
    auto const* const known = at.find(name);
    auto const saved =
        checkpoint.empty() && known != nullptr ? known->checkpoint : checkpoint;
    at.remove(name);
    auto* const of = m_jobs.find(name.task.of.job);
    auto* const in = of == nullptr ? nullptr : of->find(name.task.of);
    if (in == nullptr || name.task.index >= in->tasks.size())
    {
        return;
    }
    auto& it = in->tasks[name.task.index];
    auto const current = it.phase == task_phase::placed && it.run == name.run &&
                         it.instance == at.info().id;
    if (!current)
    {
        return;
    }
    m_log->write(base::log_level::info, "attempt_ended",
                 {{"task", text_of(name.task)},
                  {"run", name.run},
                  {"instance", at.info().id},
                  {"reason", text_of(reason)}});
    auto const& spec = of->spec_of(name.task.of);
    if (!saved.empty() && spec.checkpoints)
    {
        it.checkpoint = saved;
    }
    if (reason == end_reason::done && !spec.lasting)
    {
        ++m_counts.ends_done;
        if (spec.gang)
        {
            gang_done(*in);
        }
        else
        {
            task_done(*of, *in, it);
        }
    }
    else if (reason == end_reason::failed)
    {
        ++m_counts.ends_failed;
        task_failed(*of, name, *in, it, now);
    }
    else
    {
        ++m_counts.ends_other;
        task_waits(*in, it);
    }
    if (finished(of->phase))
    {
        // Its steps are gone with the last failure.
        return;
    }
    if (spec.gang && !in->complete())
    {
        stop_gang(name.task.of, *in, now);
    }
    after_change(*of, now);
}

void scheduler::task_done(job&, step& in, task& it)
{
    it.phase = task_phase::done;
    it.checkpoint.clear();
    ++in.done;
}

/// The members of a gang end together, so one end stands for all.
void scheduler::gang_done(step& in)
{
    for (auto& it : in.tasks)
    {
        it.phase = task_phase::done;
        it.checkpoint.clear();
    }
    in.done = static_cast<std::uint32_t>(in.tasks.size());
    in.waiting = 0;
}

void scheduler::task_failed(
    job& of, attempt_name const& name, step& in, task& it, base::instant now)
{
    auto const& spec = of.spec_of(name.task.of);
    task_waits(in, it);
    if (spec.lasting)
    {
        return;
    }
    if (spec.gang)
    {
        if (in.gang_failed_run == name.run)
        {
            return;
        }
        in.gang_failed_run = name.run;
        ++in.gang_failures;
    }
    else
    {
        ++it.failures;
    }
    auto const failures = spec.gang ? in.gang_failures : it.failures;
    if (failures >= attempts_allowed(of))
    {
        finish(of, job_phase::failed, now);
    }
}

void scheduler::task_waits(step& in, task& it)
{
    it.phase = task_phase::waiting;
    ++in.waiting;
}

/// A gang that lost a member is of no use: the others are stopped at once,
/// and it starts again when all have ended.
void scheduler::stop_gang(workload::step_name const& of,
                          step& in,
                          base::instant now)
{
    for (std::uint32_t n = 0; n < in.tasks.size(); ++n)
    {
        auto const& it = in.tasks[n];
        if (it.phase != task_phase::placed)
        {
            continue;
        }
        auto const name = attempt_name{{of, n}, it.run};
        auto* const at = m_instances.find(it.instance);
        auto* const found = at == nullptr ? nullptr : at->find(name);
        if (found != nullptr && !found->stop_wanted)
        {
            want_stop(*at, name, *found, now);
        }
    }
}

void scheduler::after_change(job& of, base::instant now)
{
    m_jobs.touch(of.spec().id);
    if (finished(of.phase))
    {
        return;
    }
    if (of.complete())
    {
        finish(of, job_phase::completed, now);
        return;
    }
    m_jobs.refresh_ready(of);
}

void scheduler::finish(job& of, job_phase phase, base::instant now)
{
    auto const id = of.spec().id;
    auto const took = now - of.accepted_at;
    m_finished = true;
    m_jobs.finish(of, phase, now);
    m_log->write(base::log_level::info, "job_finished",
                 {{"job", text_of(id)},
                  {"phase", name_of(phase)},
                  {"took_s", base::seconds_of(took)}});
    stop_all(id, now);
}

void scheduler::stop_all(workload::job_id of, base::instant now)
{
    for (auto const& [id, at] : m_instances.all())
    {
        auto& all = at->attempts();
        auto it = all.lower_bound(attempt_name{{{of, 0, 0}, 0}, 0});
        for (; it != all.end() && it->first.task.of.job == of; ++it)
        {
            if (!it->second.stop_wanted)
            {
                want_stop(*at, it->first, it->second, now);
            }
        }
    }
}

/// An attempt whose order never left is dropped when its batch is stored.
void scheduler::want_stop(instance& at,
                          attempt_name const& name,
                          attempt& it,
                          base::instant now)
{
    it.stop_wanted = true;
    if (it.state == attempt_state::planned)
    {
        return;
    }
    it.tries = 0;
    it.next_try = now + m_rules.order_retry;
    m_open.stops.push_back({at.info().id, name});
}

/// Nothing that was sent to the instance runs any more, or can still begin.
/// What has not been sent carries a lease of its own when it is.
void scheduler::void_attempts(instance& at, base::instant now)
{
    std::vector<attempt_name> names;
    for (auto const& [name, it] : at.attempts())
    {
        if (it.state != attempt_state::planned)
        {
            names.push_back(name);
        }
    }
    for (auto const& name : names)
    {
        attempt_ended(at, name, end_reason::lease_lapsed, {}, now);
    }
}

void scheduler::note_begun(workload::job_id of)
{
    auto* const it = m_jobs.find(of);
    if (it == nullptr || it->begun)
    {
        return;
    }
    m_jobs.set_begun(*it);
    if (it->phase == job_phase::queued)
    {
        it->phase = job_phase::running;
    }
    m_jobs.touch(of);
}

std::uint32_t scheduler::attempts_allowed(job const& of) const
{
    auto const* const queue = queue_of(of);
    return queue == nullptr ? 1 : std::max(1U, queue->attempts);
}

} // namespace berylhill::scheduler

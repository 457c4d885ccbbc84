#include <scheduler/scheduler.hpp>

#include <algorithm>
#include <set>

namespace berylhill::scheduler
{

/// Records the run time of one task per step: the others have the same
/// estimate, and members of a gang end together.
void scheduler::note_run_time(job const& of,
                              attempt_name const& name,
                              attempt const& it,
                              base::instant now)
{
    auto const& spec = of.spec_of(name.task.step);
    if (name.task.index == 0 && it.state == attempt_state::running &&
        it.checkpoint.empty() && !spec.long_running)
    {
        m_run_times.ended(of.spec().queue,
                          std::chrono::milliseconds{spec.estimate_ms},
                          now - it.began_at);
    }
}

void scheduler::attempt_ended(instance& at,
                              attempt_name const& name,
                              end_reason reason,
                              std::string const& checkpoint,
                              base::instant now)
{
    auto const* const known = at.find(name);
    auto const was = known != nullptr ? std::optional{*known} : std::nullopt;
    auto const saved =
        checkpoint.empty() && known != nullptr ? known->checkpoint : checkpoint;
    if (was && instance_lost(reason))
    {
        ++m_counts.ends_lost;
        report_lost(at, name, *was, reason, now);
    }
    at.remove(name);
    if (was && was->sends.any_under_way() &&
        parse_life(at.info().id).born_ms != 0)
    {
        at.add_open_order(name, now, now + m_rules.max_request_delay);
    }
    auto* const of = m_jobs.find(name.task.step.job);
    if (of == nullptr || finished(of->phase))
    {
        return;
    }
    if (of->remove_remaining(name, at.info().id))
    {
        m_jobs.touch(name.task.step.job);
    }
    auto* const in = of->find(name.task.step);
    if (in == nullptr || name.task.index >= in->tasks.size())
    {
        return;
    }
    auto const& known_task = in->tasks[name.task.index];
    auto const current = known_task.phase == task_phase::placed &&
                         known_task.run == name.run &&
                         known_task.instance == at.info().id;
    if (!current && known_task.phase == task_phase::done)
    {
        return;
    }
    auto& it = of->edit(name.task);
    if (was)
    {
        auto const began = was->state == attempt_state::running;
        count_end(name, it, at.info().id, {reason, began, was->seen_work()},
                  now);
    }
    auto const given_up = instance_lost(reason) && it.lost.given_up(m_rules);
    if (!current)
    {
        report_unexpected_end(at, name, reason, it);
        unexpected_attempt_ended(*of, name, reason, now);
        if (given_up)
        {
            give_up(*of, name, it, now);
        }
        return;
    }
    if (reason == end_reason::done && was)
    {
        note_run_time(*of, name, *was, now);
    }
    m_log->write(base::log_level::info, "attempt_ended",
                 {{"task", text_of(name.task)},
                  {"run", name.run},
                  {"instance", at.info().id},
                  {"reason", name_of(reason)}});
    auto const& spec = of->spec_of(name.task.step);
    if (!saved.empty() && spec.can_checkpoint)
    {
        keep_checkpoint(name, it, saved);
    }
    if (reason == end_reason::done && !spec.long_running)
    {
        ++m_counts.ends_done;
        if (spec.gang)
        {
            gang_done(*of, name.task.step);
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
        if (given_up)
        {
            give_up(*of, name, it, now);
        }
    }
    if (finished(of->phase))
    {
        // The job's details were released when it failed.
        return;
    }
    if (spec.gang && !in->complete())
    {
        stop_gang(name.task.step, *in, now);
    }
    if (in->tasks[name.task.index].phase == task_phase::done)
    {
        of->compact(name.task);
    }
    after_change(*of, now);
}

/// Keeps the checkpoint unless it is too large for the records of a job.
void scheduler::keep_checkpoint(attempt_name const& name,
                                task& it,
                                std::string const& saved)
{
    if (saved.size() <= m_rules.max_checkpoint_bytes)
    {
        it.checkpoint = saved;
        return;
    }
    m_log->write(base::log_level::warning, "checkpoint_too_large",
                 {{"task", text_of(name.task)},
                  {"run", name.run},
                  {"bytes", std::uint64_t{saved.size()}}});
}

void scheduler::task_done(job&, step& in, task& it)
{
    it.phase = task_phase::done;
    it.checkpoint.clear();
    ++in.done;
}

/// The members of a gang end together, so one successful end completes all.
void scheduler::gang_done(job& of, workload::step_name const& name)
{
    auto& in = *of.find(name);
    for (std::uint32_t n = 0; n < in.tasks.size(); ++n)
    {
        auto& it = of.edit({name, n});
        it.phase = task_phase::done;
        it.checkpoint.clear();
        of.compact({name, n});
    }
    in.done = static_cast<std::uint32_t>(in.tasks.size());
    in.waiting = 0;
}

void scheduler::task_failed(
    job& of, attempt_name const& name, step& in, task& it, base::instant now)
{
    task_waits(in, it);
    if (!of.spec_of(name.task.step).long_running)
    {
        count_failure(of, name, in, it, now);
    }
}

/// Fails the job if the task, or the gang as a whole, has no attempts left.
void scheduler::count_failure(
    job& of, attempt_name const& name, step& in, task& it, base::instant now)
{
    auto const& spec = of.spec_of(name.task.step);
    if (spec.gang)
    {
        if (in.gang_failed_run == name.run)
        {
            return;
        }
        in.gang_failed_run = name.run;
        ++in.gang_failures;
        of.note_step_changed(name.task.step);
    }
    else
    {
        ++it.failures;
        it.failed_runs.push_back(name.run);
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

/// A gang that has lost a member is useless: the other members are stopped at
/// once, and it starts again when all have ended.
void scheduler::stop_gang(workload::step_name const& of,
                          step& in,
                          base::instant now)
{
    for (std::uint32_t n = 0; n < in.tasks.size(); ++n)
    {
        stop_current({of, n}, in.tasks[n], now);
    }
}

/// Stops the current attempt of the task if there is one.
void scheduler::stop_current(workload::task_name const& of,
                             task const& it,
                             base::instant now)
{
    if (it.phase != task_phase::placed)
    {
        return;
    }
    auto const name = attempt_name{of, it.run};
    auto* const at = m_instances.find(it.instance);
    auto* const found = at == nullptr ? nullptr : at->find(name);
    if (found != nullptr && !found->stop_wanted)
    {
        want_stop(*at, name, *found, now);
    }
}

void scheduler::after_change(job& of, base::instant now)
{
    m_jobs.touch(of.spec().id);
    if (finished(of.phase))
    {
        return;
    }
    m_jobs.refresh_ready(of);
    of.retire_complete_occurrences();
    if (of.complete())
    {
        finish(of, job_phase::completed, now);
    }
}

void scheduler::finish(job& of, job_phase phase, base::instant now)
{
    auto const id = of.spec().id;
    auto const took = now - of.accepted_at;
    m_finished = true;
    of.finished_ms = m_wall_ms;
    m_jobs.finish(of, phase, now);
    forget_losses(id);
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
        for (; it != all.end() && it->first.task.step.job == of; ++it)
        {
            if (!it->second.stop_wanted)
            {
                want_stop(*at, it->first, it->second, now);
            }
        }
    }
}

/// An attempt whose order was not sent is dropped when its batch is stored.
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
    m_next_batch.stops.push_back({at.info().id, name});
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
    return queue == nullptr ? 1 : std::max(1U, queue->max_attempts);
}

} // namespace berylhill::scheduler

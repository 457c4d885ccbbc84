#include <scheduler/scheduler.hpp>

#include <algorithm>

namespace berylhill::scheduler
{

/// Adds an attempt that was not expected and stops it. Its task is not started
/// before it has ended, and then with a higher number: an instance rejects runs
/// that are not higher than one that has ended there.
void scheduler::add_stray(instance& at,
                          attempt_name const& name,
                          hold_report const& from)
{
    auto* const job = m_jobs.find(name.task.step.job);
    auto const known_need =
        job != nullptr && name.task.step.step_index < job->spec().steps.size();
    auto stray = known_need ? attempt_of(*job, name.task.step) : attempt{};
    stray.need_known = known_need;
    stray.state = attempt_state::running;
    stray.settled_at = from.sent_at;
    at.assume_lease(from.read_at, m_rules);
    auto& added = at.add(name, stray);
    ++m_counts.unexpected;
    auto const place = place_now(at, name.task.step);
    m_log->write(base::log_level::warning, "stray_attempt",
                 {{"task", text_of(name.task)},
                  {"run", name.run},
                  {"instance", from.instance},
                  {"of_step", place.of_step},
                  {"max_of_step", place.max_of_step}});
    want_stop(at, name, added, from.read_at);
    if (job == nullptr || finished(job->phase) || !job->has_task(name.task))
    {
        return;
    }
    if (auto const* const it = find_task(name.task);
        it != nullptr && it->phase == task_phase::waiting)
    {
        auto& changed = job->edit(name.task);
        changed.run = std::max(changed.run, name.run);
    }
    job->add_remaining(name, from.instance);
    m_jobs.touch(name.task.step.job);
}

/// Applies the end of an attempt that is not the task's current one. The
/// instance forgets the end once it is acknowledged, so a task that is done
/// must not start again, and a failure counts.
void scheduler::unexpected_attempt_ended(job& of,
                                         attempt_name const& name,
                                         end_reason reason,
                                         base::instant now)
{
    auto& in = *of.find(name.task.step);
    auto& it = of.edit(name.task);
    auto const& spec = of.spec_of(name.task.step);
    if (spec.long_running)
    {
        return;
    }
    auto const counts =
        spec.gang ? name.run > in.gang_failed_run : it.failure_is_new(name.run);
    if (reason == end_reason::failed && counts)
    {
        ++m_counts.ends_failed;
        count_failure(of, name, in, it, now);
    }
    if (reason == end_reason::done)
    {
        ++m_counts.ends_done;
        if (spec.gang)
        {
            for (std::uint32_t n = 0; n < in.tasks.size(); ++n)
            {
                release_current(of, {name.task.step, n}, now);
            }
            gang_done(of, name.task.step);
        }
        else
        {
            release_current(of, name.task, now);
            in.waiting -= it.phase == task_phase::waiting ? 1 : 0;
            task_done(of, in, it);
        }
    }
    after_change(of, now);
}

/// Stops the current attempt of a task that is about to be done, and keeps it
/// recorded until it has ended.
void scheduler::release_current(job& of,
                                workload::task_name const& name,
                                base::instant now)
{
    auto const& it = *find_task(name);
    if (it.phase == task_phase::placed)
    {
        of.add_remaining({name, it.run}, it.instance);
        stop_current(name, it, now);
    }
}

/// Logs the end of an attempt that is not the task's current one.
void scheduler::report_unexpected_end(instance const& at,
                                      attempt_name const& name,
                                      end_reason reason,
                                      task const& it) const
{
    m_log->write(base::log_level::warning, "unexpected_end",
                 {{"task", text_of(name.task)},
                  {"run", name.run},
                  {"instance", at.info().id},
                  {"reason", name_of(reason)},
                  {"current_run", it.run},
                  {"current_instance", it.instance},
                  {"placed", it.phase == task_phase::placed ? 1 : 0}});
}

} // namespace berylhill::scheduler

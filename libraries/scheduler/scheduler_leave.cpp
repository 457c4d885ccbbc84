#include <scheduler/scheduler.hpp>

#include <algorithm>

namespace berylhill::scheduler
{

namespace
{

/// Interval between two checks of the attempts on leaving instances.
constexpr base::duration look_pause = std::chrono::milliseconds{100};

/// Progress below this percentage says little about the remaining time.
constexpr int least_percent = 5;
constexpr int whole_percent = 100;

/// Safety margin added to the remaining time of an attempt.
constexpr base::duration end_slack = std::chrono::milliseconds{300};

} // namespace

/// The remaining time of the attempt by its progress, or by the estimate while
/// there is none.
base::duration scheduler::time_left(attempt const& it,
                                    job const& of,
                                    workload::step_spec const& spec,
                                    base::instant now) const
{
    auto const ran = now - it.began_at;
    if (it.percent >= least_percent)
    {
        auto const to_progress = it.progressed_at - it.began_at;
        auto const whole = to_progress * whole_percent / it.percent;
        return std::max(base::duration{0}, whole - ran);
    }
    auto const estimate = std::chrono::milliseconds{spec.estimate_ms};
    auto const whole = m_run_times.run_time(of.spec().queue, estimate);
    return std::max(base::duration{0}, whole - ran);
}

/// Whether an attempt on a leaving instance should be stopped now. Attempts
/// that are left there when the instance goes end without a report: their work
/// is lost, and their successors have to wait until the lease has expired, 8 s.
bool scheduler::should_leave(attempt const& it,
                             job const& of,
                             workload::step_spec const& spec,
                             base::duration stays,
                             base::instant now) const
{
    if (spec.can_checkpoint || spec.long_running)
    {
        return stays < m_rules.leave_before &&
               (spec.long_running ||
                time_left(it, of, spec, now) + end_slack > stays);
    }
    // It restarts from the beginning elsewhere, so the sooner the better, but
    // only if it would certainly not end here.
    return it.percent >= least_percent &&
           time_left(it, of, spec, now) > stays + m_rules.leave_before;
}

void scheduler::leave_instances(base::instant now)
{
    if (now < m_next_leave_look)
    {
        return;
    }
    m_next_leave_look = now + look_pause;
    for (auto const& [id, at] : m_instances.all())
    {
        if (!at->leaves_at() || !at->reachable())
        {
            continue;
        }
        auto const stays = *at->leaves_at() - now;
        for (auto& [name, it] : at->attempts())
        {
            auto* const of = m_jobs.find(name.task.step.job);
            if (of == nullptr || finished(of->phase) || it.stop_wanted ||
                it.state != attempt_state::running)
            {
                continue;
            }
            if (!should_leave(it, *of, of->spec_of(name.task.step), stays, now))
            {
                continue;
            }
            ++m_counts.evacuated;
            m_log->write(base::log_level::info, "attempt_leaves",
                         {{"task", text_of(name.task)},
                          {"run", name.run},
                          {"instance", id},
                          {"percent", it.percent},
                          {"instance_stays_s", base::seconds_of(stays)}});
            want_stop(*at, name, it, now);
        }
    }
}

} // namespace berylhill::scheduler

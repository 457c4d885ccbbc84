#include <scheduler/scheduler.hpp>

namespace berylhill::scheduler
{

/// Counts the end against the task if its instance was lost. An instance that
/// was merely out of reach looks the same until its lease has expired, so such
/// a loss is taken back once the instance turns out to have lived on.
void scheduler::count_end(attempt_name const& name,
                          task& it,
                          std::string const& on,
                          ended_attempt const& end,
                          base::instant now)
{
    it.count_end(name.run, on, end, m_rules);
    if (it.unconfirmed_on(on) > 0)
    {
        m_unconfirmed_losses.add(on, name.task, now);
    }
}

/// Takes back the losses that were counted before the instance was alive.
/// `shown_by` says in the log what showed that.
void scheduler::instance_alive(std::string const& id,
                               base::instant alive_at,
                               char const* shown_by)
{
    for (auto const& name : m_unconfirmed_losses.take(id, alive_at))
    {
        auto const* const known = find_task(name);
        if (known == nullptr || known->unconfirmed_on(id) == 0)
        {
            continue;
        }
        auto& it = m_jobs.find(name.step.job)->edit(name);
        it.withdraw_losses(id);
        m_jobs.touch(name.step.job);
        ++m_counts.losses_withdrawn;
        m_log->write(base::log_level::info, "loss_withdrawn",
                     {{"task", text_of(name)},
                      {"instance", id},
                      {"shown_by", shown_by},
                      {"instances_lost", it.lost.losses()},
                      {"token", m_token}});
    }
}

/// Continues to wait for news of the instances that a former owner lost.
void scheduler::restore_losses(job const& of, base::instant now)
{
    for (auto const& [number, occurrence] : of.occurrences)
    {
        for (std::uint32_t s = 0; s < occurrence.steps.size(); ++s)
        {
            auto const& tasks = occurrence.steps[s].tasks;
            for (std::uint32_t n = 0; n < tasks.size(); ++n)
            {
                for (auto const& it : tasks[n].unconfirmed_losses)
                {
                    m_unconfirmed_losses.add(
                        it.instance, {{of.spec().id, number, s}, n}, now);
                }
            }
        }
    }
}

void scheduler::forget_losses(workload::job_id of)
{
    m_unconfirmed_losses.forget(of);
    auto const first = m_presumed_ends.lower_bound({{of, 0, 0}, 0});
    auto last = first;
    while (last != m_presumed_ends.end() && last->first.step.job == of)
    {
        ++last;
    }
    m_presumed_ends.erase(first, last);
}

/// Logs what is needed to tell a task that crashes its instances from one that
/// merely ran there, and either from an order that was never carried out.
void scheduler::report_lost(instance const& at,
                            attempt_name const& name,
                            attempt const& it,
                            end_reason reason,
                            base::instant now) const
{
    m_log->write(base::log_level::info, "attempt_lost",
                 {{"task", text_of(name.task)},
                  {"run", name.run},
                  {"instance", at.info().id},
                  {"reason", name_of(reason)},
                  {"began", it.state == attempt_state::running ? 1 : 0},
                  {"inherited", it.state == attempt_state::inherited ? 1 : 0},
                  {"token", m_token},
                  {"reported_s", logged_ago(at.reported_at(), now)},
                  {"worked_s", base::seconds_of(it.seen_work())},
                  {"beside", std::uint64_t{at.attempts().size() - 1}}});
}

/// Ends an attempt whose end no instance has reported, and keeps the reason for
/// the log line of the task's next start.
void scheduler::presume_ended(instance& at,
                              attempt_name const& name,
                              end_reason reason,
                              base::instant now)
{
    auto const* const it = find_task(name.task);
    if (it != nullptr && it->phase == task_phase::placed && it->run == name.run)
    {
        m_presumed_ends[name.task] = {name.run, at.info().id, reason,
                                      at.reported_at()};
    }
    attempt_ended(at, name, reason, {}, now);
}

/// Logs why the task's last attempt was taken to be over, if no instance said
/// so: the line to look for if two attempts of a task ran at the same time.
void scheduler::report_restart(attempt_name const& name,
                               std::string const& on,
                               base::instant now)
{
    auto const found = m_presumed_ends.find(name.task);
    if (found == m_presumed_ends.end())
    {
        return;
    }
    auto const& last = found->second;
    m_log->write(base::log_level::info, "task_restarted",
                 {{"task", text_of(name.task)},
                  {"run", name.run},
                  {"instance", on},
                  {"token", m_token},
                  {"confirmed_s", confirmed_s(now)},
                  {"last_run", last.run},
                  {"last_instance", last.instance},
                  {"last_end", name_of(last.reason)},
                  {"last_reported_s", logged_ago(last.reported_at, now)}});
    m_presumed_ends.erase(found);
}

/// How long ago this process certainly owned the work, for log lines.
double scheduler::confirmed_s(base::instant now) const
{
    return base::seconds_of(now - m_confirmed_at);
}

/// Applies to long-running tasks as well: without a limit such a task would
/// crash one instance after another.
void scheduler::give_up(job& of,
                        attempt_name const& name,
                        task const& it,
                        base::instant now)
{
    ++m_counts.tasks_given_up;
    m_log->write(base::log_level::warning, "task_given_up",
                 {{"task", text_of(name.task)},
                  {"run", name.run},
                  {"instances_lost", it.lost.losses()},
                  {"at_its_start", it.lost.at_start()}});
    finish(of, job_phase::failed, now);
}

/// Ends all attempts whose orders were sent to the instance: none of them is
/// running or can still begin. Planned attempts are kept, since their orders
/// carry a new lease.
void scheduler::end_sent_attempts(instance& at,
                                  end_reason reason,
                                  base::instant now)
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
        presume_ended(at, name, reason, now);
    }
}

} // namespace berylhill::scheduler

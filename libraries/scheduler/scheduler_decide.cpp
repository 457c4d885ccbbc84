#include <scheduler/scheduler.hpp>

#include <algorithm>

namespace berylhill::scheduler
{

namespace
{

/// Tasks with an estimate up to this may use reserved instances: they end
/// before the gang's room is complete.
constexpr auto short_task = std::chrono::milliseconds{1'000};

/// Minimum interval between two log lines about one account at its cap.
constexpr base::duration cap_report_pause = std::chrono::seconds{1};

/// Minimum interval between two log lines about one step of single tasks, and
/// how long it has to wait before the first one.
constexpr base::duration wait_report_pause = std::chrono::seconds{3};

/// Minimum interval between two such lines of any steps, since thousands may
/// wait.
constexpr base::duration wait_report_spacing = std::chrono::milliseconds{50};

/// Number of long-running tasks of the step that wait after they have run.
std::uint32_t tasks_to_resume(workload::step_spec const& spec, step const& in)
{
    if (!spec.long_running)
    {
        return 0;
    }
    return static_cast<std::uint32_t>(std::ranges::count_if(
        in.tasks, [](task const& it)
        { return it.phase == task_phase::waiting && it.run > 0; }));
}

} // namespace

workload::queue_spec const* scheduler::queue_of(job const& it) const
{
    return m_queues.find(it.spec().queue).get();
}

/// How many of the step's waiting tasks its client account may start now. A
/// gang needs room for all of them. While it waits, later steps of its account
/// start nothing, or they would use each part of the cap that becomes free. A
/// long-running task that was lost starts again all the same: it held its part
/// of the cap when the gang began to wait, and may be away for seconds only. A
/// gang that has become worthless blocks no others while most of the cap is
/// idle.
std::uint32_t scheduler::account_room(job& of, turn const& it)
{
    auto const& account = of.spec().account;
    auto const& spec = of.spec_of(it.name);
    auto const waiting = m_reserved_accounts.contains(account)
                             ? tasks_to_resume(spec, *of.find(it.name))
                             : of.find(it.name)->waiting;
    if (waiting == 0)
    {
        return 0;
    }
    auto const out =
        m_instances.accounts().room_for(account, spec.need, waiting);
    if (!spec.gang || out == waiting)
    {
        return out;
    }
    auto const& accounts = m_instances.accounts();
    if (accounts.can_hold(account, spec.need, waiting) &&
        (it.tier != turn_tier::worthless || accounts.half_used(account)))
    {
        m_reserved_accounts.emplace(account, it.name);
    }
    return 0;
}

bool scheduler::eligible(instance const& it,
                         workload::step_spec const& spec,
                         workload::queue_spec const& queue,
                         base::instant now) const
{
    return it.usable(now, m_rules) && suits(it, spec, queue) &&
           workload::fits(spec.reserved_need(), it.info().capacity);
}

candidate scheduler::candidate_of(instance const& it,
                                  workload::step_name const& name,
                                  workload::step_spec const& spec,
                                  fit by) const
{
    auto const here =
        spec.max_per_instance == 0 ? 0 : attempts_of_step(it, name);
    auto const suspects =
        by == fit::separate_suspects ? it.other_suspects(name.job) : 0;
    return {it.info().id,       it.rack(), it.room(),
            it.info().capacity, here,      suspects};
}

/// A step with any suspect task is placed apart from other suspects as a whole.
fit scheduler::fit_for(step const& in)
{
    return std::ranges::any_of(in.tasks,
                               [](task const& it) { return it.lost.suspect(); })
               ? fit::separate_suspects
               : fit::best_fit;
}

/// Instances where tasks of the step may start now: usable, with a valid ticket
/// if the queue requires advice, and not reserved for another gang.
std::vector<candidate> scheduler::candidates(job& of,
                                             workload::step_name const& name,
                                             workload::queue_spec const& queue,
                                             base::instant now) const
{
    auto const& spec = of.spec_of(name);
    auto const by = fit_for(*of.find(name));
    std::vector<candidate> out;
    auto const take = [&](instance const& it)
    {
        if (eligible(it, spec, queue, now) && available_for(it, spec, now))
        {
            out.push_back(candidate_of(it, name, spec, by));
        }
    };
    if (!queue.advice)
    {
        for (auto const& [id, at] : m_instances.all())
        {
            take(*at);
        }
        return out;
    }
    for (auto const& [id, ticket] : of.find(name)->advice.allowed)
    {
        if (holds(ticket, now))
        {
            take(*ticket.at);
        }
    }
    return out;
}

/// Instances reserved for a gang accept only short tasks and tasks that end
/// before the gang starts.
bool scheduler::available_for(instance const& it,
                              workload::step_spec const& spec,
                              base::instant now) const
{
    if (it.reserved_in_round != m_round)
    {
        return true;
    }
    auto const takes = std::chrono::milliseconds{spec.estimate_ms};
    return !spec.gang &&
           (takes <= short_task || now + takes <= it.reserved_until);
}

/// Logs why the work of an account waits.
void scheduler::report_at_cap(job const& of, turn const& it, base::instant now)
{
    auto const& account = of.spec().account;
    auto& next = m_cap_reports[account];
    if (now < next)
    {
        return;
    }
    next = now + cap_report_pause;
    auto const& accounts = m_instances.accounts();
    auto const cap = accounts.cap(account);
    auto const used = accounts.used(account);
    auto const gang = m_reserved_accounts.find(account);
    m_log->write(base::log_level::info, "account_at_cap",
                 {{"step", text_of(it.name)},
                  {"account", account},
                  {"cpu_millis", used.cpu_millis},
                  {"cpu_millis_cap", cap.cpu_millis},
                  {"memory_mb", used.memory_mb},
                  {"memory_mb_cap", cap.memory_mb},
                  {"gpus", used.gpus},
                  {"gpus_cap", cap.gpus},
                  {"reserved_for", gang == m_reserved_accounts.end()
                                       ? std::string{}
                                       : text_of(gang->second)}});
}

/// Logs what the tasks of a step wait for that is not a gang.
void scheduler::report_waiting_tasks(turn const& it,
                                     workload::step_spec const& spec,
                                     step& in,
                                     std::size_t candidates,
                                     base::instant now)
{
    if (in.waiting == 0 || now < *in.ready_since + wait_report_pause ||
        now < in.next_report || now < m_next_wait_report)
    {
        return;
    }
    in.next_report = now + wait_report_pause;
    m_next_wait_report = now + wait_report_spacing;
    m_log->write(base::log_level::info, "tasks_wait",
                 {{"step", text_of(it.name)},
                  {"tasks", std::uint64_t{spec.tasks}},
                  {"waiting", in.waiting},
                  {"candidates", std::uint64_t{candidates}},
                  {"allowed", std::uint64_t{in.advice.allowed.size()}},
                  {"refused", std::uint64_t{in.advice.refused.size()}},
                  {"asking", std::uint64_t{in.advice.open.size()}},
                  {"late_s", base::seconds_of(now - it.latest_start)},
                  {"turn", name_of(it.tier)}});
}

void scheduler::decide_tasks(job& of,
                             turn const& it,
                             std::uint32_t most,
                             std::vector<candidate> const& from,
                             base::instant now)
{
    auto const& spec = of.spec_of(it.name);
    auto& in = *of.find(it.name);
    auto const chosen = choose_for_tasks(spec, most, from, fit_for(in));
    auto next = chosen.begin();
    for (std::uint32_t n = 0; n < in.tasks.size() && next != chosen.end(); ++n)
    {
        if (in.tasks[n].phase != task_phase::waiting ||
            m_instances.attempts().of({it.name, n}) > 0)
        {
            continue;
        }
        place(of, {it.name, n}, std::string{from[*next].instance},
              in.tasks[n].run + 1, now);
        ++next;
    }
    if (!chosen.empty())
    {
        note_wait(of, in, now);
        m_jobs.refresh_ready(of);
    }
}

void scheduler::decide_gang(job& of,
                            turn const& it,
                            std::vector<candidate> const& from,
                            base::instant now)
{
    auto const& spec = of.spec_of(it.name);
    auto& in = *of.find(it.name);
    auto const may_spread = now > it.latest_start;
    auto const chosen = choose_for_gang(spec, from, may_spread, fit_for(in));
    if (chosen.empty())
    {
        reserve_room(of, it, now);
        return;
    }
    note_wait(of, in, now);
    in.reserved.clear();
    std::uint32_t run = 0;
    std::string checkpoint;
    for (auto const& task : in.tasks)
    {
        run = std::max(run, task.run);
        // A checkpoint of any member is valid for all; they have to resume from
        // the same one.
        checkpoint = std::max(checkpoint, task.checkpoint);
    }
    for (std::uint32_t n = 0; n < in.tasks.size(); ++n)
    {
        of.edit({it.name, n}).checkpoint = checkpoint;
        place(of, {it.name, n}, std::string{from[chosen[n]].instance}, run + 1,
              now);
    }
    m_jobs.refresh_ready(of);
}

void scheduler::place(job& of,
                      workload::task_name const& name,
                      std::string const& on,
                      std::uint32_t run,
                      base::instant now)
{
    auto& in = *of.find(name.step);
    auto& it = of.edit(name);
    it.phase = task_phase::placed;
    it.run = run;
    it.instance = on;
    --in.waiting;
    auto& where = m_instances.get(on);
    auto made = attempt_of(of, name.step);
    made.checkpoint = it.checkpoint;
    made.suspect = it.lost.suspect();
    made.began_at = now;
    if (auto const at = in.advice.allowed.find(where.number());
        at != in.advice.allowed.end())
    {
        made.ticket = at->second.text;
    }
    auto const named = attempt_name{name, run};
    where.add(named, made);
    m_jobs.touch(of.spec().id);
    m_next_batch.starts.push_back(
        {on, named, of.spec().payload, made.checkpoint, made.ticket});
    m_log->write(base::log_level::info, "task_placed",
                 {{"task", text_of(name)},
                  {"run", run},
                  {"instance", on},
                  {"service", where.info().service},
                  {"of_step", attempts_of_step(where, name.step)},
                  {"max_of_step", of.spec_of(name.step).max_per_instance},
                  {"required_label", of.spec_of(name.step).required_label},
                  {"entry_age_s", logged_age(where, now)},
                  {"token", m_token},
                  {"confirmed_s", confirmed_s(now)},
                  {"waited_s", base::seconds_of(now - of.accepted_at)}});
    report_restart(named, on, now);
}

} // namespace berylhill::scheduler

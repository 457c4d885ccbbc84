#include <scheduler/scheduler.hpp>

#include <algorithm>
#include <utility>

namespace berylhill::scheduler
{

/// Returns the name of the life that a report describes, or nothing if the
/// report has to be ignored: it tells of a life that is over.
std::optional<std::string> scheduler::life_reported(hold_report const& it)
{
    auto const asked = parse_life(it.instance);
    if (it.born_ms == 0 || asked.born_ms == 0 || it.born_ms == asked.born_ms)
    {
        return m_instances.replaced_by_later_life(asked)
                   ? std::nullopt
                   : std::optional{it.instance};
    }
    if (it.born_ms < asked.born_ms)
    {
        m_log->write(base::log_level::info, "report_of_former_life",
                     {{"id", it.instance}, {"born_ms", it.born_ms}});
        return std::nullopt;
    }
    auto const later = text_of(instance_life{asked.id, it.born_ms});
    if (m_instances.find(later) == nullptr)
    {
        if (auto const* const former = m_instances.find(it.instance);
            former != nullptr)
        {
            m_instances.get(later).assume_address(former->info());
        }
    }
    return later;
}

/// Returns when the last lease that a request sent to a former life by now may
/// grant to a later one has surely expired. It is granted by the former life's
/// clock, and the later life shortens it to the longest that it accepts.
base::instant scheduler::late_lease_end(base::instant now) const
{
    return now + m_rules.max_request_delay +
           longest_locally(m_rules.longest_lease, m_rules) +
           m_rules.lapse_margin;
}

/// The entry of a later life was read, which may carry out the open orders of
/// this one: its lease says nothing of them. Only once: the entry is written
/// with each heartbeat. Which orders of a former owner are open is not known,
/// but it sends none later than an ownership lease after the takeover.
void scheduler::expect_later_life(instance& former, base::instant now) const
{
    auto const open =
        std::ranges::any_of(former.attempts(), [](auto const& it)
                            { return it.second.sends.any_under_way(); });
    if (former.listed() && open)
    {
        former.assume_lease_until(late_lease_end(now));
    }
    for (auto const& [name, it] : former.attempts())
    {
        if (it.state == attempt_state::inherited && it.settled_at)
        {
            former.assume_lease_until(
                late_lease_end(*it.settled_at + m_rules.ownership_lease));
        }
    }
}

/// Whether the report came over the connection of the former life's last one.
/// Something between the processes would then keep connections open beyond the
/// end of an instance, and acknowledgements could reach a later life.
bool scheduler::same_connection(std::string const& former,
                                hold_report const& by)
{
    return by.connection != 0 &&
           m_instances.get(former).report_connection() == by.connection;
}

/// Ends the former lives of an instance of which a later one has reported.
void scheduler::retire_former_lives(instance& later, hold_report const& by)
{
    auto const now = by.read_at;
    auto former = m_instances.former_lives(parse_life(later.info().id));
    std::erase_if(former, [&](auto const& id)
                  { return !is_ours(m_instances.get(id)); });
    for (auto const& id : former)
    {
        m_log->write(
            base::log_level::warning, "instance_reborn",
            {{"id", id},
             {"later", later.info().id},
             {"attempts", std::uint64_t{m_instances.get(id).attempts().size()}},
             {"same_connection", same_connection(id, by) ? 1 : 0}});
        ++m_counts.lives_replaced;
        move_open_orders(m_instances.get(id), later, by);
        stop_open_orders(m_instances.get(id), later, now);
        instance_replaced(id, now);
    }
    if (!former.empty())
    {
        // A late hold request to the former life would make it forget ends that
        // no owner has read.
        later.set_follows_former_life(now + m_rules.max_request_delay);
        later.assume_lease_until(late_lease_end(now));
    }
}

/// Both lives take an order, since it names the id alone. So an order without
/// an answer may be carried out by the later life, and one that was answered
/// after the report had been requested may have been, without being in the
/// report: the attempt is stopped there before its task can start again.
void scheduler::move_open_orders(instance& from,
                                 instance& to,
                                 hold_report const& by)
{
    auto const now = by.read_at;
    std::vector<attempt_name> names;
    for (auto const& [name, it] : from.attempts())
    {
        auto const open = it.sends.any_under_way() ||
                          (it.sends.sent() > 0 &&
                           it.settled_at.value_or(by.sent_at) >= by.sent_at);
        if (it.state != attempt_state::planned && open)
        {
            names.push_back(name);
        }
    }
    for (auto const& name : names)
    {
        auto moved = *from.find(name);
        auto const began = std::exchange(moved.state, attempt_state::sent) ==
                           attempt_state::running;
        auto const worked = moved.seen_work();
        moved.settled_at.reset();
        moved.stop_wanted = false;
        moved.tries = 0;
        from.remove(name);
        rename_place(name, from.info().id, to.info().id);
        if (to.find(name) == nullptr)
        {
            want_stop(to, name, to.add(name, moved), now);
        }
        note_crash(name, began, worked, now);
    }
}

/// Stops what the later life may start by orders of attempts that have ended:
/// one of their orders was carried out and another got no answer. The later
/// life doesn't know that the attempts have ended.
void scheduler::stop_open_orders(instance const& from,
                                 instance& to,
                                 base::instant now)
{
    for (auto const& [name, until] : from.open_orders())
    {
        if (now > until || to.find(name) != nullptr)
        {
            continue;
        }
        auto* const job = m_jobs.find(name.task.step.job);
        auto const known_need = job != nullptr && name.task.step.step_index <
                                                      job->spec().steps.size();
        auto left = known_need ? attempt_of(*job, name.task.step) : attempt{};
        left.need_known = known_need;
        left.state = attempt_state::sent;
        want_stop(to, name, to.add(name, left), now);
        if (job != nullptr && !finished(job->phase) && job->has_task(name.task))
        {
            job->add_remaining(name, to.info().id);
            m_jobs.touch(name.task.step.job);
        }
    }
}

/// Replaces the instance of an attempt in its job's state.
void scheduler::rename_place(attempt_name const& name,
                             std::string const& from,
                             std::string const& to)
{
    auto* const of = m_jobs.find(name.task.step.job);
    if (of == nullptr)
    {
        return;
    }
    if (of->remove_remaining(name, from))
    {
        of->add_remaining(name, to);
        m_jobs.touch(name.task.step.job);
    }
    auto const* const it = find_task(name.task);
    if (it != nullptr && it->phase == task_phase::placed &&
        it->run == name.run && it->instance == from)
    {
        of->edit(name.task).instance = to;
        m_jobs.touch(name.task.step.job);
    }
}

/// Counts the crash of an instance under an attempt whose task stays placed.
void scheduler::note_crash(attempt_name const& name,
                           bool began,
                           base::duration worked,
                           base::instant now)
{
    auto const* const known = find_task(name.task);
    if (known == nullptr || known->phase == task_phase::done)
    {
        return;
    }
    auto& of = *m_jobs.find(name.task.step.job);
    auto& it = of.edit(name.task);
    it.count_end(name.run, {}, {end_reason::instance_crashed, began, worked},
                 m_rules);
    m_jobs.touch(name.task.step.job);
    if (it.lost.given_up(m_rules))
    {
        give_up(of, name, it, now);
    }
}

} // namespace berylhill::scheduler

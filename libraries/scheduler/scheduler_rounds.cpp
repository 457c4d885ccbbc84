#include <scheduler/scheduler.hpp>
#include <scheduler/timing.hpp>
#include <scheduler/turn_order.hpp>

#include <algorithm>
#include <utility>

namespace berylhill::scheduler
{

namespace
{

/// Maximum number of instances that a round examines. Each takes about 50 ns,
/// and clients whose answers need milliseconds wait for the round to end.
/// Bounds rounds after a burst of hundreds of gangs, each of which may use
/// hundreds of instances.
constexpr std::size_t most_looks = 20'000;

/// Of these, how many are for the most urgent steps in a round that continues
/// the previous one.
constexpr std::size_t most_urgent_looks = 5'000;

} // namespace

void scheduler::decide(base::instant now)
{
    if (!surely_owns(now))
    {
        m_resume_after.reset();
        return;
    }
    if (!m_resume_after)
    {
        ++m_round;
        m_kept_free = 0;
        m_late_reserving = false;
        m_reserved_accounts.clear();
    }
    auto const all = turns(now);
    auto it = m_resume_after ? std::ranges::upper_bound(all, *m_resume_after)
                             : all.begin();
    m_resume_after.reset();
    m_examined = 0;
    decide_urgent(all.begin(), it, now);
    for (; it != all.end(); ++it)
    {
        decide_step(*it, now);
        if (m_examined > most_looks)
        {
            m_resume_after = *it;
            return;
        }
    }
}

/// While thousands of steps wait, it takes many rounds to reach the last one.
/// New work and freed room must not wait for that, so each round begins with
/// the most urgent steps. Gangs are examined only once until the last step is
/// reached: they have reserved their instances then.
void scheduler::decide_urgent(turn_iterator from,
                              turn_iterator to,
                              base::instant now)
{
    for (auto it = from; it != to && m_examined < most_urgent_looks; ++it)
    {
        auto& of = *m_jobs.find(it->name.job);
        if (of.find(it->name)->decided_in_round == m_round &&
            of.spec_of(it->name).gang)
        {
            continue;
        }
        decide_step(*it, now);
    }
}

std::vector<turn> scheduler::turns(base::instant now)
{
    std::vector<ready_step> from;
    from.reserve(m_jobs.ready().size());
    for (auto const& name : m_jobs.ready())
    {
        auto* const of = m_jobs.find(name.job);
        auto const* const queue = queue_of(*of);
        if (queue == nullptr || m_held.contains(name.job))
        {
            continue;
        }
        auto const until = timing_of(*of, name, *queue);
        auto& in = *of->find(name);
        note_ready(*of, name, in, now);
        if (now > until.latest_start)
        {
            note_wait(*of, in, now);
        }
        from.push_back(
            {name, of->standing, until,
             m_waits.lead(of->spec().queue, of->spec_of(name).tasks)});
    }
    return order_turns(from, now);
}

void scheduler::note_ready(job const& of,
                           workload::step_name const& name,
                           step& in,
                           base::instant now)
{
    if (!in.ready_since)
    {
        in.ready_since = now;
        m_waits.ready(of.spec().queue, of.spec_of(name).tasks, now);
    }
}

/// Each step is recorded once: when it starts or when it can no longer be in
/// time.
void scheduler::note_wait(job const& of, step& in, base::instant now)
{
    if (in.ready_since && !std::exchange(in.wait_recorded, true) &&
        of.standing == share_standing::within_share)
    {
        m_waits.waited(of.spec().queue, now - *in.ready_since, now);
    }
}

void scheduler::decide_step(turn const& it, base::instant now)
{
    auto& of = *m_jobs.find(it.name.job);
    auto const& queue = *queue_of(of);
    auto const& spec = of.spec_of(it.name);
    of.find(it.name)->decided_in_round = m_round;
    if (auto const& in = *of.find(it.name);
        spec.gang && (in.placed() > 0 || any_attempt(it.name, in)))
    {
        return;
    }
    auto const account = account_room(of, it);
    if (account == 0)
    {
        report_at_cap(of, it, now);
        return;
    }
    auto const more = room().attempts();
    if (more < (spec.gang ? spec.tasks : 1))
    {
        return;
    }
    auto const from = candidates(of, it.name, queue, now);
    m_examined += queue.advice ? of.find(it.name)->advice.allowed.size()
                               : m_instances.all().size();
    if (spec.gang)
    {
        decide_gang(of, it, from, now);
    }
    else
    {
        decide_tasks(
            of, it,
            static_cast<std::uint32_t>(std::min<std::size_t>(account, more)),
            from, now);
        report_waiting_tasks(it, spec, *of.find(it.name), from.size(), now);
    }
    if (queue.advice && of.find(it.name)->waiting > 0)
    {
        ask_advice(of, it, queue, now);
    }
}

} // namespace berylhill::scheduler

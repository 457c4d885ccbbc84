#include <scheduler/scheduler.hpp>

#include <algorithm>

namespace berylhill::scheduler
{

namespace
{

/// A gang's first questions name instances that would hold it so many times
/// over when empty, by the share that its queue's policy allows. Fewer, and
/// the gang waits for room on the few that it knows while others have some;
/// more, and the questions of other gangs wait.
constexpr double gang_spare = 12.0;
constexpr std::size_t least_named_for_gang = 24;

/// So many questions of one gang are under way at once, beyond the first ones.
constexpr std::size_t most_beside = 3;

/// A gang asks for the tickets of its plan so long before an answer would be
/// just in time.
constexpr base::duration ask_ahead = std::chrono::milliseconds{50};

base::duration time_for(workload::advice_spec const& costs, std::size_t named)
{
    return costs.decision +
           costs.per_instance * static_cast<std::int64_t>(named);
}

} // namespace

/// Instances that the gang has not asked about, those with most room first.
std::vector<instance const*>
scheduler::not_asked(job& of,
                     workload::step_name const& name,
                     workload::queue_spec const& queue,
                     base::instant now)
{
    auto const& spec = of.spec_of(name);
    auto const& known = of.find(name)->advice;
    return m_instances.roomiest(
        most_weighed,
        [&](instance const& it)
        {
            return !known.allowed.contains(it.number()) &&
                   !known.asked.contains(it.number()) &&
                   may_allow(it, spec, queue, known, now);
        });
}

/// Instances of the gang's plan whose tickets lapse before it starts.
std::vector<instance const*> scheduler::lapsing(step const& in,
                                                base::instant now) const
{
    std::vector<instance const*> out;
    if (!in.planned_start)
    {
        return out;
    }
    auto const start = std::max(now, *in.planned_start);
    for (auto const& at : in.reserved)
    {
        auto const it = in.advice.allowed.find(at->number());
        if (it != in.advice.allowed.end() && !holds(it->second, start) &&
            !in.advice.asked.contains(at->number()))
        {
            out.push_back(at.get());
        }
    }
    return out;
}

/// Which instances a gang asks about now. First, which it may use at all: that
/// never changes, and a gang that knows many finds room sooner. Then, for the
/// tickets of its plan, so that they come when the room is there. While the
/// plan is late, about more instances, with the time of the service that
/// nobody else needs.
std::vector<instance const*>
scheduler::gang_question(job& of,
                         turn const& at,
                         workload::queue_spec const& queue,
                         base::instant now)
{
    auto const& in = *of.find(at.name);
    auto const& known = in.advice;
    auto const& costs = *queue.advice;
    if (known.allowed.empty() && known.refused.empty())
    {
        return !known.open.empty() ? std::vector<instance const*>{}
                                   : first_question(of, at.name, queue, now);
    }
    auto const most = m_rules.advice_instances;
    auto const spare =
        m_budget.spare() > 0 || time_for(costs, most) <= short_advice_request;
    // One question for tickets at a time: a plan changes with each report,
    // and a question for each change held up all others' for seconds. Room
    // that nobody keeps may be taken before the answer is there, so it is
    // asked for at once, and with time to spare only.
    auto const renewing = std::ranges::any_of(
        known.asked, [&](auto n) { return known.allowed.contains(n); });
    auto tickets = renewing ? std::vector<instance const*>{} : lapsing(in, now);
    auto const answered = now + time_for(costs, tickets.size()) + ask_ahead;
    auto const start_by = in.keeps_room ? answered : now;
    if (!tickets.empty() && *in.planned_start <= start_by &&
        (in.keeps_room || spare))
    {
        return tickets;
    }
    auto const in_time =
        in.planned_start && *in.planned_start < at.latest_start;
    // Without a plan it can't start on what it knows at all.
    auto const needed = !in.planned_start && known.open.empty();
    if (in_time || known.open.size() >= most_beside || !(needed || spare))
    {
        return {};
    }
    auto out = not_asked(of, at.name, queue, now);
    out.resize(std::min(out.size(), most));
    return out;
}

std::vector<instance const*>
scheduler::first_question(job& of,
                          workload::step_name const& name,
                          workload::queue_spec const& queue,
                          base::instant now)
{
    auto const& spec = of.spec_of(name);
    auto const share = allowed_share(queue.name);
    auto slots = 0.0;
    auto out = not_asked(of, name, queue, now);
    std::size_t n = 0;
    while (n < out.size() &&
           (n < least_named_for_gang || slots < gang_spare * spec.tasks))
    {
        slots += share * slots_in(spec, out[n++]->info().capacity, 0);
    }
    out.resize(n);
    return out;
}

} // namespace berylhill::scheduler

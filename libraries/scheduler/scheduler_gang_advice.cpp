#include <scheduler/scheduler.hpp>

#include <algorithm>

namespace berylhill::scheduler
{

namespace
{

/// A gang's first requests name instances that would hold it this many times
/// over when empty, given the share that its queue's policy allows. With fewer,
/// the gang waits for room on the few instances it knows while others have
/// some; with more, the requests of other gangs are delayed.
constexpr double gang_capacity_factor = 12.0;
constexpr std::size_t least_named_for_gang = 24;

/// Maximum number of open requests of one gang beyond the first ones.
constexpr std::size_t max_additional_requests = 3;

/// A gang requests the tickets of its plan this much earlier than the answer is
/// needed.
constexpr base::duration request_lead_time = std::chrono::milliseconds{50};

base::duration time_for(workload::advice_spec const& costs, std::size_t named)
{
    return costs.decision +
           costs.per_instance * static_cast<std::int64_t>(named);
}

} // namespace

/// Instances that the gang has not requested advice about, in descending order
/// of room.
std::vector<instance const*>
scheduler::unasked_instances(job& of,
                             workload::step_name const& name,
                             workload::queue_spec const& queue,
                             base::instant now)
{
    auto const& spec = of.spec_of(name);
    auto const& known = of.find(name)->advice;
    return m_instances.select_by_free_cpu(
        max_examined,
        [&](instance const& it)
        {
            return !known.allowed.contains(it.number()) &&
                   !known.asked.contains(it.number()) &&
                   may_allow(it, spec, queue, known, now);
        });
}

/// Instances of the gang's plan whose tickets expire before it starts.
std::vector<instance const*>
scheduler::expiring_tickets(step const& in, base::instant now) const
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

/// Which instances a gang requests advice about now: first, to learn which it
/// may use at all, since that never changes and a gang that knows many finds
/// room sooner; then, to get the tickets of its plan when the room is free; and
/// while the plan is late, about more instances with spare capacity of the
/// service.
std::vector<instance const*>
scheduler::instances_to_ask_for_gang(job& of,
                                     turn const& at,
                                     workload::queue_spec const& queue,
                                     base::instant now)
{
    auto const& in = *of.find(at.name);
    auto const& known = in.advice;
    auto const& costs = *queue.advice;
    if (known.allowed.empty() && known.refused.empty())
    {
        return !known.open.empty()
                   ? std::vector<instance const*>{}
                   : first_instances_to_ask(of, at.name, queue, now);
    }
    auto const most = m_rules.advice_instances;
    auto const spare =
        m_budget.spare() > 0 || time_for(costs, most) <= short_advice_request;
    // One request for tickets at a time: a plan changes with each report, and a
    // request for each change delayed all others for seconds. Room that is not
    // reserved may be used by others before the answer arrives, so tickets for
    // it are requested only once the plan could start, and only with spare
    // capacity.
    auto const renewing = std::ranges::any_of(
        known.asked, [&](auto n) { return known.allowed.contains(n); });
    auto tickets =
        renewing ? std::vector<instance const*>{} : expiring_tickets(in, now);
    auto const answered =
        now + time_for(costs, tickets.size()) + request_lead_time;
    auto const start_by = in.reserves_instances ? answered : now;
    if (!tickets.empty() && *in.planned_start <= start_by &&
        (in.reserves_instances || spare))
    {
        return tickets;
    }
    auto const in_time =
        in.planned_start && *in.planned_start < at.latest_start;
    // Without a plan the gang cannot start at all on the instances it knows.
    auto const needed = !in.planned_start && known.open.empty();
    if (in_time || known.open.size() >= max_additional_requests ||
        !(needed || spare))
    {
        return {};
    }
    auto out = unasked_instances(of, at.name, queue, now);
    out.resize(std::min(out.size(), most));
    return out;
}

std::vector<instance const*>
scheduler::first_instances_to_ask(job& of,
                                  workload::step_name const& name,
                                  workload::queue_spec const& queue,
                                  base::instant now)
{
    auto const& spec = of.spec_of(name);
    auto const share = allowed_share(queue.name);
    auto slots = 0.0;
    auto out = unasked_instances(of, name, queue, now);
    std::size_t n = 0;
    while (n < out.size() && (n < least_named_for_gang ||
                              slots < gang_capacity_factor * spec.tasks))
    {
        slots += share * slots_in(spec, out[n++]->info().capacity, 0);
    }
    out.resize(n);
    return out;
}

} // namespace berylhill::scheduler

#include <scheduler/scheduler.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace berylhill::scheduler
{

namespace
{

/// Maximum share of the cell that is reserved for waiting gangs. More would
/// empty the cell faster than the gangs can use it.
constexpr double max_reserved_share = 0.25;

/// A gang is planned on this many times the slots that it needs, since not all
/// of them become free in time.
constexpr double reserve_factor = 1.5;

/// Planning on an instance costs as much as examining this many instances for a
/// start, since each of its attempts is examined.
constexpr std::size_t examinations_per_planned_instance = 8;

/// An attempt that is overdue is expected to end within this time.
constexpr base::duration overdue_ends_in = std::chrono::milliseconds{100};

/// Minimum interval between two plans of a gang. With 100 waiting gangs,
/// planning each in every round would take all of the owner's time.
constexpr base::duration plan_pause = std::chrono::milliseconds{30};

/// Minimum interval between two log lines about one waiting gang.
constexpr base::duration gang_report_pause = std::chrono::seconds{1};

} // namespace

/// Reserves the instances of a gang's plan, or smaller tasks would take each
/// slot as it becomes free.
void scheduler::reserve_room(job& of, turn const& it, base::instant now)
{
    auto& in = *of.find(it.name);
    auto const most =
        max_reserved_share * static_cast<double>(m_instances.all().size());
    // Only one late gang reserves at a time: partial reservations for several
    // of them would be useful to none.
    auto const later =
        it.tier != turn_tier::in_time && std::exchange(m_late_reserving, true);
    in.reserves_instances = !later && static_cast<double>(m_kept_free) < most;
    if (now >= in.next_plan)
    {
        in.next_plan = now + plan_pause;
        if (!in.reserves_instances || !preempt(of, it, now))
        {
            plan(of, it, in, now);
        }
        report_waiting_gang(it, of.spec_of(it.name), in, now);
    }
    if (!in.reserves_instances)
    {
        return;
    }
    for (auto const& at : in.reserved)
    {
        at->reserved_in_round = m_round;
        at->reserved_until = in.planned_start.value_or(now);
    }
    m_kept_free += in.reserved.size();
}

/// Plans the gang on the instances whose slots are free together first, plus
/// some more, since not all become free in time.
void scheduler::plan(job& of, turn const& it, step& in, base::instant now)
{
    auto const& spec = of.spec_of(it.name);
    auto const usable = usable_later(of, it.name, now);
    m_examined += examinations_per_planned_instance * usable.size();
    std::vector<room_forecast> from;
    from.reserve(usable.size());
    for (auto const& at : usable)
    {
        from.push_back(forecast_room(*at, now));
        from.back().planned_before =
            std::ranges::find(in.reserved, at) != in.reserved.end();
    }
    auto const slots =
        static_cast<std::uint32_t>(std::ceil(reserve_factor * spec.tasks));
    auto plan = plan_gang(spec, slots, from, now);
    if (!plan)
    {
        // The instances that the gang knows, and may ever know, hold it
        // exactly.
        plan = plan_gang(spec, spec.tasks, from, now);
    }
    in.reserved.clear();
    in.planned_start.reset();
    if (!plan)
    {
        return;
    }
    in.planned_start = plan->start;
    for (auto const n : plan->instances)
    {
        in.reserved.push_back(usable[n]);
    }
}

/// Logs what a gang waits for, so that one that never starts can be explained.
void scheduler::report_waiting_gang(turn const& it,
                                    workload::step_spec const& spec,
                                    step& in,
                                    base::instant now)
{
    if (now < in.next_report)
    {
        return;
    }
    in.next_report = now + gang_report_pause;
    std::uint32_t slots = 0;
    for (auto const& at : in.reserved)
    {
        slots += slots_in(spec, at->room(), 0);
    }
    auto const starts_in =
        in.planned_start ? base::seconds_of(*in.planned_start - now) : -1;
    m_log->write(base::log_level::info, "gang_waits",
                 {{"step", text_of(it.name)},
                  {"tasks", std::uint64_t{spec.tasks}},
                  {"slots_free", std::uint64_t{slots}},
                  {"starts_in_s", starts_in},
                  {"allowed", std::uint64_t{in.advice.allowed.size()}},
                  {"refused", std::uint64_t{in.advice.refused.size()}},
                  {"kept_free", std::uint64_t{in.reserved.size()}},
                  {"asking", std::uint64_t{in.advice.open.size()}},
                  {"late_s", base::seconds_of(now - it.latest_start)},
                  {"turn", name_of(it.tier)}});
}

/// Instances that a gang may use, with or without a valid ticket.
std::vector<std::shared_ptr<instance>> scheduler::usable_later(
    job& of, workload::step_name const& name, base::instant now) const
{
    auto const& queue = *queue_of(of);
    auto const& spec = of.spec_of(name);
    std::vector<std::shared_ptr<instance>> out;
    auto const take = [&](std::shared_ptr<instance> const& at)
    {
        if (at != nullptr && eligible(*at, spec, queue, now) &&
            available_for(*at, spec, now))
        {
            out.push_back(at);
        }
    };
    if (!queue.advice)
    {
        for (auto const& [id, at] : m_instances.all())
        {
            take(at);
        }
        return out;
    }
    for (auto const& [number, ticket] : of.find(name)->advice.allowed)
    {
        take(ticket.at);
    }
    return out;
}

/// The free resources of the instance now and as its attempts end.
room_forecast scheduler::forecast_room(instance const& at,
                                       base::instant now) const
{
    room_forecast out;
    out.room = at.room();
    for (auto const& [name, it] : at.attempts())
    {
        auto const* const of = m_jobs.find(name.task.step.job);
        if (it.stop_wanted || of == nullptr || finished(of->phase))
        {
            out.ends.emplace_back(now + m_rules.stop_takes, it.need);
            continue;
        }
        auto const& spec = of->spec_of(name.task.step);
        if (spec.long_running)
        {
            continue;
        }
        auto const left =
            std::max(time_left(it, *of, spec, now), overdue_ends_in);
        out.ends.emplace_back(now + left, it.need);
    }
    return out;
}

} // namespace berylhill::scheduler

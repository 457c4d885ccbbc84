#include <scheduler/scheduler.hpp>
#include <scheduler/timing.hpp>

#include <algorithm>
#include <utility>

namespace berylhill::scheduler
{

namespace
{

/// So much of the cell at most is kept free for gangs that wait. More would
/// empty it faster than they can use it.
constexpr double most_reserved = 0.25;

/// Between two looks at what is kept free for a gang. With a hundred gangs that
/// wait, a look at each in each round would take all of the owner's time.
constexpr base::duration reserve_pause = std::chrono::milliseconds{30};

/// Between two lines that say what a gang waits for.
constexpr base::duration gang_report_pause = std::chrono::seconds{1};

} // namespace

/// Keeps instances free for a gang that waits, or smaller tasks would take
/// each slot as it comes free. The choice stays until the gang starts: one
/// made anew each time would follow the emptiest instances around, and never
/// bring a gang's slots together.
void scheduler::keep_room(job& of, turn const& it, base::instant now)
{
    auto const& spec = of.spec_of(it.name);
    auto& in = *of.find(it.name);
    auto const most =
        most_reserved * static_cast<double>(m_instances.all().size());
    // Of the gangs that are late one at a time: parts of room kept for several
    // of them would be of use to none.
    auto const later = it.tier > 0 && std::exchange(m_late_reserving, true);
    if (later || static_cast<double>(m_kept_free) >= most)
    {
        in.reserved.clear();
        report_waiting_gang(it, spec, in, {}, now);
        return;
    }
    if (now >= in.next_look)
    {
        in.next_look = now + reserve_pause;
        choose_reserve(of, it, in, now);
    }
    for (auto const& at : in.reserved)
    {
        at->kept_free_in = m_round;
    }
    m_kept_free += in.reserved.size();
}

void scheduler::choose_reserve(job& of,
                               turn const& it,
                               step& in,
                               base::instant now)
{
    auto const& spec = of.spec_of(it.name);
    auto const from = future_candidates(of, it.name, now);
    std::erase_if(in.reserved,
                  [&](std::shared_ptr<instance> const& at)
                  {
                      return std::ranges::none_of(
                          from, [&](candidate const& entry)
                          { return entry.instance == at->info().id; });
                  });
    if (!preempt(of, it, from, now))
    {
        fill_reserve(spec, in, from);
    }
    report_waiting_gang(it, spec, in, from, now);
}

/// What a gang waits for, so that one that never starts can be explained.
void scheduler::report_waiting_gang(turn const& it,
                                    workload::step_spec const& spec,
                                    step& in,
                                    std::vector<candidate> const& from,
                                    base::instant now)
{
    if (now < in.next_report)
    {
        return;
    }
    in.next_report = now + gang_report_pause;
    std::uint32_t slots = 0;
    for (auto const& each : from)
    {
        slots += slots_in(spec, each.room, 0);
    }
    m_log->write(base::log_level::info, "gang_waits",
                 {{"step", text_of(it.name)},
                  {"tasks", std::uint64_t{spec.tasks}},
                  {"slots_free", std::uint64_t{slots}},
                  {"instances", std::uint64_t{from.size()}},
                  {"allowed", std::uint64_t{in.advice.allowed.size()}},
                  {"refused", std::uint64_t{in.advice.refused.size()}},
                  {"kept_free", std::uint64_t{in.reserved.size()}},
                  {"asking", in.advice.asking ? 1 : 0},
                  {"late_s", base::seconds_of(now - it.latest_start)}});
}

/// The emptiest instances first, until their slots would hold the gang and
/// some more, since not all come free in time.
void scheduler::fill_reserve(workload::step_spec const& spec,
                             step& in,
                             std::vector<candidate> from) const
{
    auto const wanted = spec.tasks * gang_reserve_factor;
    auto slots = 0.0;
    for (auto const& at : in.reserved)
    {
        slots += slots_in(spec, at->info().capacity, 0);
    }
    std::ranges::sort(from, std::ranges::greater{},
                      [](candidate const& it) { return it.room.cpu_millis; });
    for (auto const& it : from)
    {
        if (slots >= wanted)
        {
            return;
        }
        auto at = m_instances.share(it.instance);
        if (std::ranges::find(in.reserved, at) == in.reserved.end())
        {
            slots += slots_in(spec, it.capacity, 0);
            in.reserved.push_back(std::move(at));
        }
    }
}

/// As `candidates`, also where leave is known and its ticket has lapsed.
std::vector<candidate> scheduler::future_candidates(
    job& of, workload::step_name const& name, base::instant now) const
{
    auto const& queue = *queue_of(of);
    if (!queue.advice)
    {
        return candidates(of, name, queue, now);
    }
    auto const& spec = of.spec_of(name);
    std::vector<candidate> out;
    for (auto const& [id, ticket] : of.find(name)->advice.allowed)
    {
        if (ticket.at != nullptr && eligible(*ticket.at, spec, queue, now) &&
            open_to(*ticket.at, spec))
        {
            out.push_back(candidate_of(*ticket.at, name, spec));
        }
    }
    return out;
}

/// An attempt that may be stopped for more urgent work: it is less urgent,
/// goes on from where it was stopped, and its job has time left.
bool scheduler::can_wait(attempt_name const& name,
                         std::int32_t than,
                         base::instant now)
{
    auto const* const of = m_jobs.find(name.task.of.job);
    if (of == nullptr || finished(of->phase))
    {
        return false;
    }
    auto const* const queue = queue_of(*of);
    auto const& spec = of->spec_of(name.task.of);
    if (queue == nullptr || queue->priority <= than || !spec.checkpoints ||
        spec.gang || spec.lasting)
    {
        return false;
    }
    auto const until = timing_of(*of, name.task.of, *queue);
    return until.latest_start - now > m_rules.preempt_slack;
}

/// What an instance offers a gang once work that can wait has been stopped.
struct scheduler::offer
{
    instance* at{nullptr};
    /// Room that is free, or comes free by stops under way.
    workload::resources room;
    std::vector<std::pair<attempt_name, workload::resources>> victims;
};

scheduler::offer
scheduler::offer_of(instance& at, std::int32_t priority, base::instant now)
{
    offer out{&at, at.room(), {}};
    for (auto const& [name, it] : at.attempts())
    {
        if (it.stop_wanted)
        {
            out.room += it.need;
        }
        else if (it.state == attempt_state::running &&
                 can_wait(name, priority, now))
        {
            out.victims.emplace_back(name, it.need);
        }
    }
    std::ranges::sort(out.victims, std::ranges::greater{},
                      [](auto const& it) { return it.second.cpu_millis; });
    return out;
}

/// A gang that would be late takes the place of work that can wait, on as few
/// instances as it needs. Nothing is stopped unless that makes room for the
/// whole gang. Returns whether the gang has its room now, or will have it when
/// the stops under way are done.
bool scheduler::preempt(job& of,
                        turn const& it,
                        std::vector<candidate> const& from,
                        base::instant now)
{
    auto const& spec = of.spec_of(it.name);
    auto const priority = queue_of(of)->priority;
    if (it.tier > 1 || now < it.latest_start - m_rules.preempt_before)
    {
        return false;
    }
    std::vector<offer> offers;
    offers.reserve(from.size());
    for (auto const& each : from)
    {
        offers.push_back(offer_of(m_instances.get(std::string{each.instance}),
                                  priority, now));
    }
    std::ranges::sort(offers, std::ranges::greater{},
                      [](offer const& each) { return each.room.cpu_millis; });
    std::uint32_t slots = 0;
    std::vector<std::pair<instance*, attempt_name>> stopped;
    std::vector<std::shared_ptr<instance>> chosen;
    for (auto& each : offers)
    {
        if (slots >= spec.tasks)
        {
            break;
        }
        auto here = slots_in(spec, each.room, 0);
        for (auto const& [name, need] : each.victims)
        {
            if (slots + here >= spec.tasks)
            {
                break;
            }
            each.room += need;
            stopped.emplace_back(each.at, name);
            here = slots_in(spec, each.room, 0);
        }
        slots += here;
        chosen.push_back(m_instances.share(each.at->info().id));
    }
    if (slots < spec.tasks)
    {
        return false;
    }
    of.find(it.name)->reserved = std::move(chosen);
    for (auto const& [at, name] : stopped)
    {
        ++m_counts.preempted;
        m_log->write(base::log_level::info, "attempt_preempted",
                     {{"task", text_of(name.task)},
                      {"run", name.run},
                      {"instance", at->info().id},
                      {"for", text_of(it.name)}});
        want_stop(*at, name, *at->find(name), now);
    }
    return true;
}

} // namespace berylhill::scheduler

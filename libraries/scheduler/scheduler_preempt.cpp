#include <scheduler/scheduler.hpp>
#include <scheduler/timing.hpp>

#include <algorithm>
#include <utility>

namespace berylhill::scheduler
{

/// Whether an attempt may be stopped for more urgent work: it has a lower
/// priority, resumes from a checkpoint, and its job has time left.
bool scheduler::is_preemptible(attempt_name const& name,
                               std::int32_t than,
                               base::instant now)
{
    auto const* const of = m_jobs.find(name.task.step.job);
    if (of == nullptr || finished(of->phase))
    {
        return false;
    }
    auto const* const queue = queue_of(*of);
    auto const& spec = of->spec_of(name.task.step);
    if (queue == nullptr || queue->priority <= than || !spec.can_checkpoint ||
        spec.gang || spec.long_running)
    {
        return false;
    }
    auto const until = timing_of(*of, name.task.step, *queue);
    return until.latest_start - now > m_rules.preempt_slack;
}

/// Room that an instance can provide for a gang after preemption.
struct scheduler::offer
{
    instance* at{nullptr};
    /// Room that is free or becomes free by stops in progress.
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
                 is_preemptible(name, priority, now))
        {
            out.victims.emplace_back(name, it.need);
        }
    }
    std::ranges::sort(out.victims, std::ranges::greater{},
                      [](auto const& it) { return it.second.cpu_millis; });
    return out;
}

/// Preempts attempts for a gang that would be late, on as few instances as it
/// needs. Nothing is stopped unless that makes room for the whole gang. Returns
/// whether the gang has its room now or will have it after the stops in
/// progress.
bool scheduler::preempt(job& of, turn const& it, base::instant now)
{
    auto const& spec = of.spec_of(it.name);
    auto const priority = queue_of(of)->priority;
    if (it.tier > turn_tier::late ||
        now < it.latest_start - m_rules.preempt_before)
    {
        return false;
    }
    std::vector<offer> offers;
    for (auto const& each : usable_later(of, it.name, now))
    {
        offers.push_back(offer_of(*each, priority, now));
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
    auto& in = *of.find(it.name);
    in.reserved = std::move(chosen);
    in.planned_start =
        now + (stopped.empty() ? base::duration{0} : m_rules.stop_takes);
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

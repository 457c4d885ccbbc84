#include <cell_replay/replay.hpp>

#include <cell_replay/replay_time.hpp>

#include <algorithm>
#include <utility>

namespace berylhill::cell_replay
{

namespace
{

/// Until an end is read, between two looks at an instance.
constexpr base::duration hold_pause{std::chrono::milliseconds{20}};

/// How much longer or shorter than its step's others a task takes.
double unevenness(workload::task_name const& it)
{
    constexpr double spread = 0.3;
    return 1 - spread / 2 + spread * chance_of(text_of(it));
}

} // namespace

void replay::begin(scheduler::attempt_name const& it, replayed_instance& at)
{
    auto const& job = job_of(it);
    auto const& step = job.spec.steps[it.task.step.step_index];
    if (!step.gang)
    {
        work(it, at);
        return;
    }
    if (++m_present[it.task.step][it.run] < step.tasks)
    {
        return;
    }
    // All are there: they work, and end together.
    for (auto const& [id, each] : m_instances)
    {
        for (auto const& [name, run] : each->running())
        {
            if (name.task.step == it.task.step && name.run == it.run)
            {
                work(name, *each);
            }
        }
    }
}

/// Has the task end when its work is done.
void replay::work(scheduler::attempt_name const& it, replayed_instance& at)
{
    auto const& job = job_of(it);
    auto const& step = job.spec.steps[it.task.step.step_index];
    auto speed = at.speed();
    auto uneven = unevenness(it.task);
    if (step.gang)
    {
        // As fast as the slowest of them.
        speed = std::ranges::min(m_load.speeds);
        uneven = 1;
    }
    auto const saved = at.running().at(it).saved_s;
    auto const takes = span_of(std::max(
        0.0, (job.work_s[it.task.step.step_index] * uneven - saved) / speed));
    at.set_to_work(it, takes, m_time.now());
    auto const fails = m_load.kinds[job.kind].fail_share;
    // The members of a gang fail together.
    auto const named = step.gang ? text_of(it.task.step) : text_of(it.task);
    auto const reason = chance_of(named + std::to_string(it.run)) < fails
                            ? scheduler::end_reason::failed
                            : scheduler::end_reason::done;
    m_time.after(takes,
                 [this, it, id = at.id(), reason] { ended(it, id, reason); });
}

void replay::ended(scheduler::attempt_name const& it,
                   std::string const& id,
                   scheduler::end_reason reason)
{
    auto const at = m_instances.find(id);
    if (at == m_instances.end())
    {
        return;
    }
    auto const& instance = *at->second;
    std::string checkpoint;
    auto const found = instance.running().find(it);
    if (found != instance.running().end() &&
        reason == scheduler::end_reason::stopped &&
        job_of(it).spec.steps[it.task.step.step_index].can_checkpoint)
    {
        auto const worked = seconds_since(found->second.began, m_time.now());
        checkpoint =
            std::to_string(found->second.saved_s + worked * instance.speed());
    }
    auto const run = at->second->end(it, reason, checkpoint);
    if (!run)
    {
        return;
    }
    m_figures.cores_used += core_seconds(*run);
    if (m_holds[id].waiting)
    {
        report(id, m_holds[id].turn);
    }
}

double replay::core_seconds(replayed_instance::run const& it) const
{
    constexpr double millis = 1'000;
    auto const& step =
        job_of(it.attempt).spec.steps[it.attempt.task.step.step_index];
    return seconds_since(it.began, m_time.now()) *
           static_cast<double>(step.need.cpu_millis) / millis;
}

void replay::hold(std::string const& id)
{
    if (!m_instances.contains(id))
    {
        m_holds.erase(id);
        return;
    }
    auto const order = m_decisions.next_hold(id, m_time.now());
    m_time.after(way,
                 [this, id, order]
                 {
                     auto const at = m_instances.find(id);
                     if (at == m_instances.end())
                     {
                         return;
                     }
                     at->second->acknowledge(order.seen_end);
                     auto& turn = m_holds[id];
                     turn.waiting = true;
                     ++turn.turn;
                     if (at->second->listed_ends() || order.wait.count() == 0)
                     {
                         report(id, turn.turn);
                         return;
                     }
                     m_time.after(order.wait,
                                  [this, id, n = turn.turn] { report(id, n); });
                 });
}

void replay::report(std::string const& id, std::uint64_t turn)
{
    auto& known = m_holds[id];
    if (!known.waiting || known.turn != turn || !m_instances.contains(id))
    {
        return;
    }
    known.waiting = false;
    auto it = m_instances.at(id)->report(m_time.now());
    m_time.after(way,
                 [this, id, it = std::move(it)]() mutable
                 {
                     it.read_at = m_time.now();
                     m_decisions.hold_answered(it);
                     soon();
                     m_time.after(hold_pause, [this, id] { hold(id); });
                 });
}

} // namespace berylhill::cell_replay

#include "world.hpp"

#include <algorithm>

namespace berylhill::scheduler_test
{

void world::check_start(fake_instance const& at,
                        scheduler::start_order const& it)
{
    auto const name = text_of(it.attempt.task);
    auto const* const spec = spec_of(it.attempt.task.step);
    if (spec == nullptr ||
        it.payload != "payload " + text_of(it.attempt.task.step.job))
    {
        broken("start without a submission: " + name);
        return;
    }
    workload::resources used;
    std::uint32_t of_step = 0;
    for (auto const& [other, running] : at.running)
    {
        auto const* const known = spec_of(other.task.step);
        used += known->reserved_need();
        of_step += other.task.step == it.attempt.task.step ? 1 : 0;
    }
    check_room(at, used + spec->reserved_need());
    check_crashes(it.attempt.task);
    check_due(it.attempt);
    check_place(at, it);
    if (spec->max_per_instance != 0 && of_step >= spec->max_per_instance)
    {
        broken("too many tasks of a step on " + at.id + ": " + name);
    }
    for (auto const& [id, other] : m_instances)
    {
        for (auto const& [running, state] : other->running)
        {
            if (running.task == it.attempt.task && other->up)
            {
                auto what = "task runs twice: " + name;
                what += " on " + at.id;
                what += " and " + id;
                broken(what);
            }
        }
    }
    if (m_done_seen.contains(it.attempt.task))
    {
        broken("restarted after its end was acknowledged: " + name);
    }
    auto const& job = m_submitted.at(it.attempt.task.step.job);
    if (m_refused.contains(job.id))
    {
        broken("rejected job starts: " + name);
    }
    check_cap(job, *spec);
    m_begun.insert(job.id);
    for (auto const before : spec->depends_on)
    {
        for (std::uint32_t n = 0; n < job.steps[before].tasks; ++n)
        {
            auto earlier = it.attempt.task;
            earlier.step.step_index = before;
            earlier.index = n;
            if (!m_done.contains(earlier) && !job.steps[before].gang)
            {
                broken("starts before its dependency: " + name + " before " +
                       text_of(earlier));
            }
        }
    }
}

/// Usage is counted from what the instances run. The cap changes, so the
/// largest value applies.
void world::check_cap(workload::job_spec const& job,
                      workload::step_spec const& step)
{
    if (job.account != "capped")
    {
        return;
    }
    auto used = step.need.cpu_millis;
    for (auto const& [id, at] : m_instances)
    {
        for (auto const& [running, state] : at->running)
        {
            auto const& other = m_submitted.at(running.task.step.job);
            used += at->up && other.account == job.account
                        ? spec_of(running.task.step)->need.cpu_millis
                        : 0;
        }
    }
    if (used > largest_cap_millis)
    {
        broken("account exceeds its cap, in millicores: " +
               std::to_string(used));
    }
}

/// A done end that is acknowledged by an owner stands for it and its
/// successors, whichever run it is of; so do as many failures as allowed.
void world::check_sent(owner const& by, scheduler::start_order const& it)
{
    auto const& task = it.attempt.task;
    if (auto const at = m_done_by.find(task);
        at != m_done_by.end() && by.token >= at->second)
    {
        broken("start sent after an acknowledged end: " + text_of(task));
    }
    auto const failed = m_failed_by.find(task);
    auto const* const spec = spec_of(task.step);
    if (failed == m_failed_by.end() || spec == nullptr || spec->gang)
    {
        return;
    }
    auto const known =
        std::ranges::count_if(failed->second, [&](auto const& each)
                              { return by.token >= each.second; });
    if (known >= attempts_allowed(task.step.job))
    {
        broken("start sent after " + std::to_string(known) +
               " acknowledged failures: " + text_of(task));
    }
}

std::uint32_t world::attempts_allowed(workload::job_id of) const
{
    auto const& queue = m_submitted.at(of).queue;
    return std::ranges::find(m_configuration.queues, queue,
                             &workload::queue_spec::name)
        ->max_attempts;
}

/// Notes the ends that the owner with this token acknowledges.
void world::note_acknowledged(scheduler::ended_attempt_report const& it,
                              std::uint64_t token)
{
    if (it.reason == scheduler::end_reason::done)
    {
        auto const at = m_done_by.emplace(it.attempt.task, token).first;
        at->second = std::min(at->second, token);
    }
    if (it.reason == scheduler::end_reason::failed)
    {
        auto& runs = m_failed_by[it.attempt.task];
        auto const at = runs.emplace(it.attempt.run, token).first;
        at->second = std::min(at->second, token);
    }
}

void world::note_seen(fake_instance& at,
                      std::uint64_t seen,
                      std::uint64_t token)
{
    std::erase_if(at.ended,
                  [&](fake_end const& it)
                  {
                      if (it.row.number > seen)
                      {
                          return false;
                      }
                      note_acknowledged(it.row, token);
                      auto const& task = it.row.attempt.task;
                      if (it.row.reason == scheduler::end_reason::done &&
                          it.lapses == at.lapses)
                      {
                          m_done_seen.insert(task);
                          if (m_last_start[task] > it.at)
                          {
                              broken("restarted after an end that is "
                                     "acknowledged later: " +
                                     text_of(task));
                          }
                      }
                      return true;
                  });
}

/// The owner's count of pending jobs is never less than the number of accepted
/// jobs that have not begun anywhere.
void world::check_pending()
{
    if (!m_owner->alive || m_now < m_owner->frozen_until)
    {
        return;
    }
    std::size_t waiting = 0;
    for (auto const id : m_accepted)
    {
        auto const repeats = m_submitted.at(id).repeats.count != 0;
        waiting +=
            !repeats && !m_begun.contains(id) && !m_cancelled.contains(id) ? 1
                                                                           : 0;
    }
    std::size_t told = 0;
    for (auto const& queue : m_configuration.queues)
    {
        told += m_owner->decisions->pending(queue.name);
    }
    if (told < waiting)
    {
        broken(std::to_string(waiting) +
               " jobs are pending, the owner counts " + std::to_string(told));
    }
}

bool world::all_ended() const
{
    for (auto const id : m_accepted)
    {
        auto const phase = m_owner->decisions->phase_of(id);
        if ((!phase || !finished(*phase)) && !rejected_for_good(id))
        {
            return false;
        }
    }
    return true;
}

void world::check_ends(std::vector<std::string>& into) const
{
    check_records(into);
    for (auto const id : m_accepted)
    {
        auto const phase = m_owner->decisions->phase_of(id);
        if (!phase)
        {
            into.push_back("job lost: " + text_of(id));
            continue;
        }
        if (rejected_for_good(id))
        {
            continue;
        }
        if (!finished(*phase))
        {
            into.push_back("job never ended: " + text_of(id));
            continue;
        }
        if (*phase == scheduler::job_phase::cancelled &&
            !m_cancelled.contains(id))
        {
            into.push_back("job cancelled without a request: " + text_of(id));
        }
        if (*phase == scheduler::job_phase::failed)
        {
            check_failed(id, into);
        }
        if (*phase != scheduler::job_phase::completed)
        {
            continue;
        }
        check_completed(m_submitted.at(id), into);
    }
}

/// Every task of every occurrence of a completed job has ended as done.
void world::check_completed(workload::job_spec const& it,
                            std::vector<std::string>& into) const
{
    auto const occurrences = std::max(it.repeats.count, 1U);
    for (std::uint32_t k = 0; k < occurrences; ++k)
    {
        for (std::uint32_t s = 0; s < it.steps.size(); ++s)
        {
            for (std::uint32_t n = 0; n < it.steps[s].tasks; ++n)
            {
                auto const task = workload::task_name{{it.id, k, s}, n};
                if (!m_done.contains(task) && !it.steps[s].gang)
                {
                    into.push_back("job completed without " + text_of(task));
                }
            }
        }
    }
}

} // namespace berylhill::scheduler_test

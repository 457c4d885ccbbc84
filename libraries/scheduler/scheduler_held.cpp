#include <scheduler/scheduler.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

namespace berylhill::scheduler
{

/// Holds the jobs whose records were rejected, and takes them out of the batch,
/// all others of which are stored.
void scheduler::hold_rejected(pending_batch& batch,
                              std::vector<rejected_job> const& rejected,
                              base::instant now)
{
    for (auto const& [id, records] : rejected)
    {
        ++m_counts.rejected;
        std::erase_if(batch.jobs,
                      [&, job = id](auto const& it) { return it.id == job; });
        auto* const it = m_jobs.find(id);
        if (it == nullptr)
        {
            // The job was dropped. A successor deletes what is left of it.
            continue;
        }
        it->may_be_stored |= records == rejected_records::may_be_stored;
        m_jobs.put_back({id}, {});
        hold(*it, now);
    }
}

/// Forgets the submissions of which nothing is stored.
void scheduler::withdraw_rejected(std::vector<rejected_job> const& rejected)
{
    for (auto const& [id, records] : rejected)
    {
        auto const* const it = m_jobs.find(id);
        if (it != nullptr && !it->stored && !it->may_be_stored)
        {
            m_jobs.let_go(id);
            std::ignore = m_held.release(id);
            m_jobs.put_back({id}, {});
            std::ignore = forget_unsent(id);
        }
    }
}

void scheduler::hold(job const& it, base::instant now)
{
    auto const id = it.spec().id;
    m_jobs.hold(id);
    auto const is_first = m_held.hold(id, now);
    if (is_first && (it.stored || it.may_be_stored))
    {
        m_log->write(base::log_level::error, "job_held",
                     {{"job", text_of(id)},
                      {"phase", name_of(it.phase)},
                      {"stored", it.stored ? 1 : 0}});
    }
}

/// The ends of held jobs must not be acknowledged. A job may have become held
/// after its end had been added to the batch.
void scheduler::hold_ends(pending_batch const& batch)
{
    for (auto const& [id, ends] : batch.ends)
    {
        for (auto const& [number, job] : ends)
        {
            if (m_held.contains(job))
            {
                m_held.note_end(job, id, number);
            }
        }
    }
}

/// Ends the attempts of held jobs whose orders waited for the batch: they were
/// never sent. The stops of such a job are sent all the same: to stop an
/// attempt breaks no promise.
void scheduler::cancel_held_starts(pending_batch& batch, base::instant now)
{
    auto const rest = std::stable_partition(
        batch.starts.begin(), batch.starts.end(),
        [&](start_order const& it)
        { return !m_held.contains(it.attempt.task.step.job); });
    std::vector<start_order> const cancelled{rest, batch.starts.end()};
    batch.starts.erase(rest, batch.starts.end());
    for (auto const& it : cancelled)
    {
        auto* const at = m_instances.find(it.instance);
        if (at != nullptr && at->find(it.attempt) != nullptr)
        {
            ++m_counts.withheld;
            attempt_ended(*at, it.attempt, end_reason::stopped, {}, now);
        }
    }
}

/// A caller asks for something about the job, so its records are tried again at
/// once: the answer depends on them.
void scheduler::try_held_again(workload::job_id it)
{
    if (m_held.contains(it))
    {
        m_jobs.let_go(it);
    }
}

void scheduler::try_due_held_jobs(base::instant now)
{
    for (auto const id : m_held.take_due(now))
    {
        m_jobs.let_go(id);
    }
}

/// The records of the job are stored. Ends that were read since then are not,
/// so all of its ends are acknowledged with the next batch.
void scheduler::release_held(workload::job_id it)
{
    if (!m_held.contains(it))
    {
        return;
    }
    m_log->write(base::log_level::info, "job_released", {{"job", text_of(it)}});
    m_jobs.let_go(it);
    for (auto const& end : m_held.release(it))
    {
        auto& ends = m_next_batch.ends[end.instance];
        ends.emplace(end.number, it);
        if (auto const* const at = m_instances.find(end.instance);
            at != nullptr)
        {
            // Later ends of other jobs waited for it.
            ends.emplace(at->last_read_end, workload::job_id{});
        }
    }
}

/// Lets the instance forget its ends up to this one, but none whose outcome is
/// not stored.
void scheduler::acknowledge(std::string const& id, std::uint64_t last_end)
{
    auto* const at = m_instances.find(id);
    if (at == nullptr)
    {
        return;
    }
    auto const unstored = m_held.first_unstored_end(id);
    at->set_seen_end(unstored ? std::min(last_end, *unstored - 1) : last_end);
}

} // namespace berylhill::scheduler

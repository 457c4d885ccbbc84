#pragma once

#include <scheduler/job.hpp>
#include <scheduler/record.hpp>
#include <scheduler/state_part.hpp>

#include <cstddef>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace berylhill::scheduler
{

/// All jobs of the cell, the changes that have not been written yet, and the
/// steps with tasks that are ready to start. Not thread-safe.
class job_table
{
public:
    /// Ordered, since clients choose the ids: they could make most of them
    /// collide in a hash table.
    using job_map = std::map<workload::job_id, std::unique_ptr<job>>;

    /// Jobs that are no longer kept, with the keys of their records in the
    /// order in which they have to be deleted.
    using dropped_jobs = std::map<workload::job_id, std::vector<std::string>>;

    explicit job_table(record_layout layout = {})
        : m_layout{layout}
    {
    }

    /// Precondition: the id is unknown.
    job&
    add(workload::job_spec spec, std::int64_t accepted_ms, base::instant now);

    /// Adds a job of which only the cancellation has arrived. Precondition: the
    /// id is unknown.
    job& add_early_cancellation(workload::job_id it,
                                std::string account,
                                std::int64_t wall_ms,
                                base::instant now);

    /// The submission of a job has arrived after its cancellation.
    void set_submitted(job& it);

    /// Keeps only the cancellation of a cancelled job. Returns false, without
    /// effect, if a batch has been taken since the job was added.
    bool withdraw_submission(job& it);

    /// Number of jobs of which only the cancellation has arrived.
    [[nodiscard]] std::size_t early_cancellations() const noexcept
    {
        return m_early_cancellations.size();
    }

    /// Returns null if the job is unknown.
    [[nodiscard]] job* find(workload::job_id it);
    [[nodiscard]] job const* find(workload::job_id it) const;

    /// Removes the job, and its records with the next batch.
    void drop(workload::job_id it);

    /// An estimate of the memory that all jobs take, in bytes; see
    /// `job::memory`.
    [[nodiscard]] std::size_t memory() const noexcept
    {
        return *m_memory;
    }

    [[nodiscard]] job_map const& all() const noexcept
    {
        return m_jobs;
    }

    /// Removes a job of which nothing has been written. Returns false, without
    /// effect, if a batch has been taken since it was added.
    bool withdraw(workload::job_id it);

    /// Marks the job's state as changed.
    void touch(workload::job_id it)
    {
        (m_held.contains(it) ? m_held_changes : m_changed).insert(it);
    }

    /// Leaves the changes of the job out of all batches.
    void hold(workload::job_id it);

    /// Adds the changes of a held job to the next batch again.
    void let_go(workload::job_id it);

    [[nodiscard]] bool anything_changed() const noexcept
    {
        return !m_changed.empty() || !m_new.empty() || !m_dropped.empty();
    }

    /// The records to write for the jobs that changed since the last call, and
    /// the ids of these jobs.
    struct changes
    {
        std::vector<record> records;
        std::vector<workload::job_id> jobs;
        dropped_jobs dropped;
    };
    [[nodiscard]] changes take_changes();

    /// Marks the changes taken last as unwritten again.
    void put_back(std::vector<workload::job_id> const& changed,
                  dropped_jobs const& dropped);

    /// The changes of the job that were taken last are stored.
    void stored(job& it);

    /// Steps with waiting tasks whose dependencies are complete.
    [[nodiscard]] std::set<workload::step_name> const& ready() const noexcept
    {
        return m_ready;
    }

    /// Repeating jobs with occurrences that have not been opened.
    [[nodiscard]] std::set<workload::job_id> const& repeating() const noexcept
    {
        return m_repeating;
    }

    /// All occurrences of the job have been opened.
    void set_all_opened(workload::job_id it)
    {
        m_repeating.erase(it);
    }

    /// Updates the set of ready steps. Must be called after any change to the
    /// job's steps.
    void refresh_ready(job const& it);

    /// Number of jobs of the queue of which no task has started.
    [[nodiscard]] std::size_t pending(std::string const& queue) const;

    /// Records that the first task of the job has started.
    void set_begun(job& it);

    /// Sets the job's final phase and releases its details.
    void finish(job& it, job_phase phase, base::instant now);

    /// Indexes a job that was restored. Precondition: it was just read from
    /// records.
    void restored(job const& it);

    /// Jobs that finished before the given time, the oldest first.
    [[nodiscard]] std::vector<workload::job_id>
    finished_before(base::instant it) const;

private:
    void add_records(job& it, std::vector<record>& to) const;
    void forget_finished(job const& it);
    void forget_pending(job const& it);

    record_layout m_layout;
    std::shared_ptr<std::size_t> m_memory{std::make_shared<std::size_t>(0)};
    job_map m_jobs;
    std::set<workload::job_id> m_changed;
    /// Jobs whose changes are left out, and those of them that have any.
    std::set<workload::job_id> m_held;
    std::set<workload::job_id> m_held_changes;
    std::set<workload::job_id> m_new;
    dropped_jobs m_dropped;
    std::set<workload::job_id> m_early_cancellations;
    std::set<workload::step_name> m_ready;
    std::set<workload::job_id> m_repeating;
    /// By queue: the jobs of which no task has started.
    std::map<std::string, std::set<workload::job_id>> m_pending;
    std::multimap<base::instant, workload::job_id> m_finished;
};

} // namespace berylhill::scheduler

#pragma once

#include <scheduler/job.hpp>
#include <scheduler/record.hpp>

#include <cstddef>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace berylhill::scheduler
{

/// All jobs of the cell, which of them have changed since they were last
/// written, and which steps have tasks that could start. Not thread-safe.
class job_book
{
public:
    using job_map = std::unordered_map<workload::job_id, std::unique_ptr<job>>;

    /// Precondition: the id is not known.
    job&
    add(workload::job_spec spec, std::int64_t accepted_ms, base::instant now);

    /// Null where it is not known.
    [[nodiscard]] job* find(workload::job_id it);
    [[nodiscard]] job const* find(workload::job_id it) const;

    /// Forgets it, and drops its records with the next batch.
    void drop(workload::job_id it);

    [[nodiscard]] job_map const& all() const noexcept
    {
        return m_jobs;
    }

    /// Forgets a job of which nothing has been written. Returns whether it
    /// did: false where a batch has been taken since it was added.
    bool withdraw(workload::job_id it);

    /// Its state has to be written.
    void touch(workload::job_id it)
    {
        m_changed.insert(it);
    }

    [[nodiscard]] bool anything_changed() const noexcept
    {
        return !m_changed.empty() || !m_new.empty() || !m_dropped.empty();
    }

    /// What the jobs changed since the last call have to write, and which
    /// jobs these are.
    struct changes
    {
        std::vector<record> records;
        std::vector<workload::job_id> jobs;
        std::vector<workload::job_id> dropped;
    };
    [[nodiscard]] changes take_changes();

    /// What was taken last has not been written, and has to be.
    void put_back(std::vector<workload::job_id> const& changed,
                  std::vector<workload::job_id> const& dropped);

    /// Steps with waiting tasks whose turn has come.
    [[nodiscard]] std::set<workload::step_name> const& ready() const noexcept
    {
        return m_ready;
    }

    /// Jobs with times of which not all have come.
    [[nodiscard]] std::set<workload::job_id> const& repeating() const noexcept
    {
        return m_repeating;
    }

    /// All times of the job have come.
    void set_all_opened(workload::job_id it)
    {
        m_repeating.erase(it);
    }

    /// Call after any change to a job's steps.
    void refresh_ready(job const& it);

    /// Jobs of a queue whose first task has not started.
    [[nodiscard]] std::size_t pending(std::string const& queue) const;

    /// The first task of a job has started.
    void set_begun(job& it);

    /// It has its final phase; the book forgets the details.
    void finish(job& it, job_phase phase, base::instant now);

    /// Precondition: just read from records.
    void restored(job const& it);

    /// Finished jobs, the oldest first.
    [[nodiscard]] std::vector<workload::job_id>
    finished_before(base::instant it) const;

private:
    void forget_finished(job const& it);
    void forget_pending(job const& it);

    job_map m_jobs;
    std::set<workload::job_id> m_changed;
    std::set<workload::job_id> m_new;
    std::set<workload::job_id> m_dropped;
    std::set<workload::step_name> m_ready;
    std::set<workload::job_id> m_repeating;
    /// By queue: the jobs of which no task has started.
    std::map<std::string, std::set<workload::job_id>> m_pending;
    std::multimap<base::instant, workload::job_id> m_finished;
};

} // namespace berylhill::scheduler

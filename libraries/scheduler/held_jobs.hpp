#pragma once

#include <base/time.hpp>
#include <workload/job_id.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace berylhill::scheduler
{

/// The jobs whose records the store rejects, until it takes them. Nothing that
/// rests on such a record may leave the owner: no task of the job is started,
/// and none of its ends is acknowledged. Pure. Not thread-safe.
class held_jobs
{
public:
    /// The records of the job were rejected. They are tried again after a
    /// pause, which becomes longer with each rejection. Returns whether the job
    /// was not held before.
    bool hold(workload::job_id it, base::instant now);

    [[nodiscard]] bool contains(workload::job_id it) const
    {
        return !m_jobs.empty() && m_jobs.contains(it);
    }

    [[nodiscard]] std::size_t size() const noexcept
    {
        return m_jobs.size();
    }

    /// The jobs whose records are to be tried again now. Each is returned once.
    [[nodiscard]] std::vector<workload::job_id> take_due(base::instant now);

    /// An attempt of the job has ended, which is not stored. `number` is that
    /// of the end on the instance.
    void note_end(workload::job_id of,
                  std::string const& instance,
                  std::uint64_t number);

    /// The lowest number of an end on the instance that must not be
    /// acknowledged, if there is any: an instance forgets all ends up to the
    /// one that is acknowledged.
    [[nodiscard]] std::optional<std::uint64_t>
    first_unstored_end(std::string const& instance) const;

    /// The end of an attempt on an instance.
    struct instance_end
    {
        std::string instance;
        std::uint64_t number{0};
    };

    /// The records of the job are stored. Returns its ends.
    std::vector<instance_end> release(workload::job_id it);

private:
    struct held_job
    {
        base::duration pause{0};
        /// Empty while its records are being tried.
        std::optional<base::instant> next_try;
    };

    std::map<workload::job_id, held_job> m_jobs;
    /// By instance and number.
    std::map<std::string, std::map<std::uint64_t, workload::job_id>> m_ends;
};

} // namespace berylhill::scheduler

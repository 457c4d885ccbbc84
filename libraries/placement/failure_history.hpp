#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace berylhill::placement
{

/// How often each job's attempts failed, and on which workers: tells a job that
/// fails everywhere from a worker that fails everything. Not thread-safe.
class failure_history
{
public:
    void
    add(std::string const& job_name, std::string const& worker, bool failed);

    /// How probable a failure of this job is on a worker other than `worker`,
    /// and at least `cell_rate`. Even odds before anything is known.
    [[nodiscard]] double likely(std::string const& job_name,
                                std::string const& worker,
                                double cell_rate) const;

private:
    struct counts
    {
        std::int32_t ended{0};
        std::int32_t failed{0};
    };

    struct job_counts
    {
        counts all;
        std::map<std::string, counts> by_worker;
    };

    std::map<std::string, job_counts> m_jobs;
};

} // namespace berylhill::placement

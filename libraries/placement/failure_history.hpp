#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace berylhill::placement
{

/// Counts the failed attempts of each job name by worker, to distinguish a job
/// that fails on every worker from a worker that fails every job. Not
/// thread-safe.
class failure_history
{
public:
    void
    add(std::string const& job_name, std::string const& worker, bool failed);

    /// The probability, 0 to 1, that the job fails on a worker other than
    /// `worker`; at least `cell_rate`, and at least 0.5 without history.
    [[nodiscard]] double failure_probability(std::string const& job_name,
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

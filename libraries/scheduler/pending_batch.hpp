#pragma once

#include <scheduler/job_table.hpp>
#include <scheduler/orders.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace berylhill::scheduler
{

/// What a batch says of a job.
struct written_job
{
    workload::job_id id;
    job_phase phase{job_phase::queued};
    bool submitted{true};
};

/// Orders and acknowledgements that are held back until a batch is stored.
struct pending_batch
{
    std::vector<start_order> starts;
    std::vector<stop_order> stops;
    /// By instance and number: the ends that were read, and their jobs.
    std::map<std::string, std::map<std::uint64_t, workload::job_id>> ends;
    std::vector<written_job> jobs;
    job_table::dropped_jobs dropped;
};

} // namespace berylhill::scheduler

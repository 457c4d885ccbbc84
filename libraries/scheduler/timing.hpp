#pragma once

#include <scheduler/job.hpp>
#include <workload/queue_spec.hpp>

namespace berylhill::scheduler
{

/// Until when a step is of use. A value.
struct timing
{
    /// The latest start with which its job can be in time.
    base::instant latest_start;
    /// A start after it is worth nothing any more.
    base::instant last_start;

    friend bool operator==(timing const&, timing const&) = default;
};

/// From a job's objective, a multiple of its longest chain of work and a time
/// on top, less the work that is still to be done from this step on. Durations
/// are the client's estimates. Precondition: the step exists.
[[nodiscard]] timing timing_of(job const& of,
                               workload::step_name const& name,
                               workload::queue_spec const& queue);

} // namespace berylhill::scheduler

#pragma once

#include <scheduler/job.hpp>
#include <workload/queue_spec.hpp>

namespace berylhill::scheduler
{

/// The times until which a step is useful. A value.
struct timing
{
    /// The latest start with which its job can be in time.
    base::instant latest_start;
    /// A later start is worthless.
    base::instant last_start;

    friend bool operator==(timing const&, timing const&) = default;
};

/// Derived from the job's objective, which is a multiple of its longest chain
/// of work plus a constant, minus the work that is still to be done from this
/// step on. Durations are the client's estimates or the learnt run times.
/// Precondition: the step exists.
[[nodiscard]] timing timing_of(job const& of,
                               workload::step_name const& name,
                               workload::queue_spec const& queue);

} // namespace berylhill::scheduler

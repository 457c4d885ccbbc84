#pragma once

#include <base/finding.hpp>
#include <workload/job_spec.hpp>

namespace berylhill::workload
{

/// The largest accepted payload, in bytes.
inline constexpr std::size_t max_payload_bytes = 4'000;

/// The largest accepted number of tasks in one step; more are assumed to be a
/// mistake.
inline constexpr std::uint32_t max_tasks_per_step = 10'000;

/// The maximum number of tasks of all steps together: the owner keeps the state
/// of each in memory.
inline constexpr std::uint64_t max_tasks_per_job = 100'000;

/// Finds errors in a job that do not depend on the cell: steps without tasks,
/// cyclic dependencies, negative resources, a payload that is too long. Empty
/// if the job is valid.
[[nodiscard]] base::findings check(job_spec const& it);

} // namespace berylhill::workload

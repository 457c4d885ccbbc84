#pragma once

#include <base/finding.hpp>
#include <workload/job_spec.hpp>

namespace berylhill::workload
{

/// The longest payload that is taken, in bytes.
inline constexpr std::size_t longest_payload = 4'000;

/// More tasks in one step than this are a mistake.
inline constexpr std::uint32_t most_tasks = 10'000;

/// What is wrong with a job, whatever cell it is for: a step without tasks or
/// that waits for itself, sizes below 0, a payload that is too long. Empty
/// where nothing is.
[[nodiscard]] base::findings check(job_spec const& it);

} // namespace berylhill::workload

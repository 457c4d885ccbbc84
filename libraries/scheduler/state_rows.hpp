#pragma once

#include <base/result.hpp>
#include <scheduler/job.hpp>

#include <boost/json.hpp>

#include <cstdint>
#include <string_view>
#include <utility>
#include <vector>

namespace berylhill::scheduler
{

// The rows of which the records of a job's state consist. Pure; thread-safe.

/// The error for a row that cannot be read.
[[nodiscard]] base::failure unreadable(std::string_view what);

/// Whether a task needs no row, because no attempt of it was ever made.
[[nodiscard]] bool untouched(task const& it);

/// `[index, phase, run, failures, instance, checkpoint, instances lost, crashes
/// at start, [failed runs]]`, without empty elements at the end.
[[nodiscard]] boost::json::array task_row(std::uint32_t index, task const& it);

/// The index and the state of a task. Fails with `invalid` if the row is
/// malformed.
[[nodiscard]] base::result<std::pair<std::uint32_t, task>>
task_in(boost::json::value const& row);

/// Sets a task of an open occurrence as its row says. Fails with `invalid` if
/// the row is malformed or the step has no such task.
[[nodiscard]] base::result<void> read_task(boost::json::value const& row,
                                           workload::step_name const& of,
                                           job& into);

/// `[occurrence, step, index, run, instance, cores, memory, accelerators,
/// cores of the cap]`
[[nodiscard]] boost::json::array remaining_row(remaining_attempt const& it);

/// Reads the rows of attempts that may still be running from the member `w`.
/// Fails with `invalid`.
[[nodiscard]] base::result<std::vector<remaining_attempt>>
remaining_in(workload::job_id id, boost::json::value const& root);

} // namespace berylhill::scheduler

#pragma once

#include <workload/queue_spec.hpp>

#include <boost/json.hpp>

#include <memory>
#include <string>

namespace berylhill::scheduler
{

// The row of a record that has a queue as it was when a job was accepted: what
// decides how its tasks run, not how callers reach it. Pure; thread-safe.

[[nodiscard]] boost::json::array queue_row(workload::queue_spec const& it);

/// Returns null if there is no row or it is malformed: the job is more than its
/// queue.
[[nodiscard]] std::shared_ptr<workload::queue_spec const>
queue_in(boost::json::array const& row, std::string name);

} // namespace berylhill::scheduler

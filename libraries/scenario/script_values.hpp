#pragma once

#include <model/job.hpp>
#include <scenario/script.hpp>

#include <json/value.h>

namespace berylhill::scenario
{

/// The workers and minions of a script, as `stand_ins --fleet` takes them. The
/// first group's ids begin with `w-` and `m-`, a later one's with its line too.
[[nodiscard]] Json::Value fleet_of(script const& it);

/// Precondition: a `jobs` statement.
[[nodiscard]] model::job_request request_of(statement const& it);

} // namespace berylhill::scenario

#pragma once

#include "bed.hpp"

namespace berylhill::review
{

/// A job waits for its second step, its route is taken out, and the process
/// that owns the work is stopped and started as in a rolling restart.
verdict route_taken_out(run_options const& options);

} // namespace berylhill::review

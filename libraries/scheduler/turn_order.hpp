#pragma once

#include <base/time.hpp>
#include <scheduler/job.hpp>
#include <scheduler/timing.hpp>
#include <scheduler/turn.hpp>

#include <vector>

namespace berylhill::scheduler
{

/// What the order of turns depends on for one ready step. A value.
struct ready_step
{
    workload::step_name name;
    share_standing standing{share_standing::within_share};
    timing limits;
    /// How much earlier than by its latest start the step is served.
    base::duration lead{0};
};

/// Returns the ready steps in the order in which they are served: first those
/// that can be in time, the most urgent before the others; then those that are
/// late and worth less; then those beyond their client account's share; last
/// those that are worthless.
///
/// While more is asked than fits, there is always work of a higher class, and
/// nothing bounds how long a step of a lower one waits.
///
/// Pure and thread-safe.
[[nodiscard]] std::vector<turn> order_turns(std::vector<ready_step> const& from,
                                            base::instant now);

} // namespace berylhill::scheduler

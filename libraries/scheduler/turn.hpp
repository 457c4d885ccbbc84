#pragma once

#include <base/time.hpp>
#include <workload/task_name.hpp>

#include <cstdint>

namespace berylhill::scheduler
{

/// Priority class of a step; it precedes the deadline in the order of steps.
enum class turn_tier : std::uint8_t
{
    in_time,
    /// Late, but still of value.
    late,
    /// Beyond its client account's share.
    over_share,
    worthless,
};

/// The name of the class for log lines.
[[nodiscard]] char const* name_of(turn_tier it);

/// A step that is ready, with its priority. Steps are served in ascending
/// order. A value.
struct turn
{
    turn_tier tier{turn_tier::in_time};
    /// The latest start that is in time, minus the lead for what has to be done
    /// before.
    base::instant start_target;
    base::instant latest_start;
    workload::step_name name;

    friend auto operator<=>(turn const&, turn const&) = default;
};

} // namespace berylhill::scheduler

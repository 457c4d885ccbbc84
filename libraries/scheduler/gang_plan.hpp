#pragma once

#include <base/time.hpp>
#include <workload/resources.hpp>
#include <workload/step_spec.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace berylhill::scheduler
{

/// What an instance that a gang may use has free, and what comes free as its
/// work ends. A value.
struct coming_room
{
    workload::resources room;
    /// When each attempt there is expected to end, and what it takes.
    std::vector<std::pair<base::instant, workload::resources>> ends;
    /// It was planned on before.
    bool planned_before{false};

    friend bool operator==(coming_room const&, coming_room const&) = default;
};

/// When a gang can start, and on which of the instances. A value.
struct gang_plan
{
    base::instant start{};
    /// Indexes of the instances, those with most slots first.
    std::vector<std::size_t> instances;

    friend bool operator==(gang_plan const&, gang_plan const&) = default;
};

/// The earliest time at which `slots` tasks of the step fit, and as few
/// instances as hold them then. Nothing where they never do.
///
/// Answers a full cell: a gang whose slots come free one by one loses each to
/// smaller work, unless those that will be free together, and soonest, are
/// kept for it. Pure.
[[nodiscard]] std::optional<gang_plan>
plan_gang(workload::step_spec const& step,
          std::uint32_t slots,
          std::vector<coming_room> const& from,
          base::instant now);

} // namespace berylhill::scheduler

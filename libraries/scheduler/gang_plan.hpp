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

/// Free resources of an instance that a gang may use, and the resources that
/// become free as its attempts end. A value.
struct room_forecast
{
    workload::resources room;
    /// For each attempt on the instance, the expected end and the resources
    /// that it uses.
    std::vector<std::pair<base::instant, workload::resources>> ends;
    /// The previous plan of the gang includes the instance.
    bool planned_before{false};

    friend bool operator==(room_forecast const&,
                           room_forecast const&) = default;
};

/// When a gang can start and on which of the instances. A value.
struct gang_plan
{
    base::instant start{};
    /// Indexes into the given instances, in descending order of slots.
    std::vector<std::size_t> instances;

    friend bool operator==(gang_plan const&, gang_plan const&) = default;
};

/// Returns the earliest time at which `slots` tasks of the step fit, and a
/// minimal set of instances that hold them then; nothing if they never fit.
///
/// In a full cell, a gang whose slots become free one by one loses each of them
/// to smaller tasks. Reserving the instances whose slots are free together
/// soonest prevents that. Pure.
[[nodiscard]] std::optional<gang_plan>
plan_gang(workload::step_spec const& step,
          std::uint32_t slots,
          std::vector<room_forecast> const& from,
          base::instant now);

} // namespace berylhill::scheduler

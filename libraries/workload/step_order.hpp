#pragma once

#include <workload/step_spec.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace berylhill::workload
{

/// The indices of the steps in an order in which each one comes after all that
/// it depends on; nothing if there is a cycle. Takes time in proportion to the
/// steps and their dependencies: a client chooses both.
///
/// Precondition: each dependency names a step. Thread-safe.
[[nodiscard]] std::optional<std::vector<std::uint32_t>>
order_of_steps(std::vector<step_spec> const& steps);

} // namespace berylhill::workload

#pragma once

#include <workload/resources.hpp>
#include <workload/step_spec.hpp>

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace berylhill::scheduler
{

/// An instance that tasks of a step may be placed on. A value.
struct candidate
{
    /// Both refer to strings of the instance, which must outlive the candidate.
    std::string_view instance;
    std::string_view rack;
    workload::resources room;
    workload::resources capacity;
    /// Number of tasks of the step on the instance.
    std::uint32_t tasks_here{0};
    /// Number of tasks of other jobs on the instance that are suspected of
    /// crashing instances. Set only for a step that has such tasks itself.
    std::uint32_t suspects_here{0};

    friend bool operator==(candidate const&, candidate const&) = default;
};

/// Criterion for the choice of an instance.
enum class fit : std::uint8_t
{
    /// The instance with the fewest free resources left after the placement,
    /// which keeps room for large tasks in one piece.
    best_fit,
    /// For a step with a task under which instances were lost. Avoids instances
    /// with suspects of other jobs, since tasks that lose instances together
    /// cannot be told apart; then prefers the instance where a crash harms the
    /// fewest others.
    separate_suspects,
};

/// Chooses instances for up to `count` tasks of a step, best fit first,
/// preferring the step's preferred rack. Returns an index into `from` for each
/// task that can be placed.
[[nodiscard]] std::vector<std::size_t>
choose_for_tasks(workload::step_spec const& step,
                 std::uint32_t count,
                 std::vector<candidate> from,
                 fit by = fit::best_fit);

/// Chooses instances for all tasks of a gang, or none. A gang that is slow
/// across racks is placed on one rack if one has room for it, and across racks
/// only if `may_spread` is set. Returns an index into `from` for each task, or
/// an empty vector.
[[nodiscard]] std::vector<std::size_t>
choose_for_gang(workload::step_spec const& step,
                std::vector<candidate> const& from,
                bool may_spread,
                fit by = fit::best_fit);

/// How many tasks of the step fit into `room`, given the number of its tasks
/// that are on the instance already.
[[nodiscard]] std::uint32_t slots_in(workload::step_spec const& step,
                                     workload::resources const& room,
                                     std::uint32_t tasks_here);

} // namespace berylhill::scheduler

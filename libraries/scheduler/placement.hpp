#pragma once

#include <workload/resources.hpp>
#include <workload/step_spec.hpp>

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace berylhill::scheduler
{

/// An instance that may take tasks of a step. A value.
struct candidate
{
    /// Both belong to the instance, which outlives the candidate.
    std::string_view instance;
    std::string_view rack;
    workload::resources room;
    workload::resources capacity;
    /// Tasks of the step that are there already.
    std::uint32_t tasks_here{0};
    /// Tasks of other jobs there under which instances were lost before.
    /// Looked up for a step that has such tasks itself.
    std::uint32_t suspects_here{0};

    friend bool operator==(candidate const&, candidate const&) = default;
};

/// What an instance is chosen by.
enum class fit : std::uint8_t
{
    /// The one that is left with least room takes the task, so that room for
    /// large tasks stays in one piece.
    tight,
    /// Instances were lost under a task of the step: apart from such tasks of
    /// other jobs, or those that were lost together would be so again and one
    /// be taken for the other; then where it harms fewest.
    apart,
};

/// Chooses instances for up to `count` tasks of a step, best fit first. Near
/// the step's data before elsewhere. Returns an index of `from` for each task
/// that has a place.
[[nodiscard]] std::vector<std::size_t>
choose_for_tasks(workload::step_spec const& step,
                 std::uint32_t count,
                 std::vector<candidate> from,
                 fit by = fit::tight);

/// Chooses instances for all tasks of a gang, or none. A gang that is slow
/// across racks is put on one rack where one has room for it; it goes across
/// racks only if `may_spread`. Returns an index of `from` for each task, or
/// nothing.
[[nodiscard]] std::vector<std::size_t>
choose_for_gang(workload::step_spec const& step,
                std::vector<candidate> const& from,
                bool may_spread,
                fit by = fit::tight);

/// How many tasks of the step fit into the room.
[[nodiscard]] std::uint32_t slots_in(workload::step_spec const& step,
                                     workload::resources const& room,
                                     std::uint32_t tasks_here);

} // namespace berylhill::scheduler

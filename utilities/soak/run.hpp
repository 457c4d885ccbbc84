#pragma once

#include <soak/cell.hpp>
#include <soak/plan.hpp>

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <string>
#include <vector>

namespace berylhill::soak
{

/// What a run needs. A value.
struct run_settings
{
    std::string binary;
    /// Settings and outputs of the processes; kept where something was found.
    std::filesystem::path folder;
    cell_size size;
    std::size_t clients{8};
    /// How long faults begin.
    std::chrono::milliseconds length{std::chrono::seconds{8}};
    std::uint64_t seed{1};
};

/// What a run saw. A value.
struct run_end
{
    std::vector<std::string> findings;
    std::size_t accepted{0};
    /// How many attempts had to be accepted.
    std::size_t owed{0};
    std::size_t starts{0};
    /// The longest turn of the run's own loop. One of many seconds says that
    /// the machine stood still, or this program.
    std::chrono::milliseconds longest_turn{0};
};

/// All faults of the seed in the order of time. Pure.
[[nodiscard]] std::vector<fault> faults_of(run_settings const& it);

/// Plays the faults of a seed against real processes.
[[nodiscard]] run_end play(run_settings const& it);

} // namespace berylhill::soak

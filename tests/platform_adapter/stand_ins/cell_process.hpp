#pragma once

#include "process.hpp"

#include <cell/append_limits.hpp>
#include <settings/cell_settings.hpp>

#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <memory>
#include <string>

namespace berylhill::platform_test
{

/// How a process of a cell is started. A value.
struct cell_process
{
    std::string binary;
    std::filesystem::path folder;
    std::string name;
    /// The first of four ports: callers, readiness, peers, metrics.
    std::size_t first_port{0};
    std::size_t store_port{0};
    /// What its settings say that the store takes.
    cell::append_limits store_limits{};
    std::int64_t longest_lease_ms{10'000};
    /// What the other processes take for the port of its peers, where
    /// something listens that leads to the process; 0: nothing lies between.
    std::size_t peers_reach_it_at{0};
    /// What its machine gives it.
    settings::cell_limit_settings machine{};
};

/// Ports that a process listens at.
inline constexpr std::size_t ports_per_process = 4;

/// The port at which it listens for peers.
[[nodiscard]] std::size_t own_peer_port(cell_process const& it);

/// Writes its settings file.
void write_settings(cell_process const& it);

/// Writes its settings and starts it; its output goes to a file beside them.
[[nodiscard]] std::unique_ptr<process> start(cell_process const& it);

} // namespace berylhill::platform_test

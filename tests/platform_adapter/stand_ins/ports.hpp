#pragma once

#include <network/socket_address.hpp>

#include <cstddef>
#include <cstdint>

namespace berylhill::platform_test
{

/// Where programs look for free ports. Each has a part of the range below the
/// ports of outgoing connections (32768) to itself: the ports of a process
/// that a run has killed are free until it starts it again, and another run
/// must not take them.
enum class port_range : std::uint16_t
{
    tests = 20'000,
    soak = 26'000,
};

/// A run of free ports on loopback; runs beside each other begin at unlike
/// places, by the number of the process. Others on the machine may take one
/// before it is used, which the start of the process then shows.
[[nodiscard]] std::uint16_t free_ports(port_range from, std::uint16_t wanted);

[[nodiscard]] inline network::socket_address local(std::size_t port)
{
    return {"127.0.0.1", static_cast<std::uint16_t>(port)};
}

} // namespace berylhill::platform_test

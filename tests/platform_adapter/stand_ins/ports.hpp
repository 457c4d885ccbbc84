#pragma once

#include <network/socket_address.hpp>

#include <cstddef>
#include <cstdint>

namespace berylhill::platform_test
{

/// A run of free ports on loopback; others on the machine may take one before
/// it is used, which the start of the process then shows.
[[nodiscard]] std::uint16_t free_ports(std::uint16_t wanted);

[[nodiscard]] inline network::socket_address local(std::size_t port)
{
    return {"127.0.0.1", static_cast<std::uint16_t>(port)};
}

} // namespace berylhill::platform_test

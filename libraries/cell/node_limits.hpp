#pragma once

#include <network/http_client.hpp>
#include <network/server_limits.hpp>
#include <settings/cell_settings.hpp>
#include <workload/queue_spec.hpp>

#include <cstddef>

/// Limits of a process that follow from its machine. Pure; thread-safe.
namespace berylhill::cell
{

/// For the instances that run tasks.
[[nodiscard]] network::client_limits
order_limits(settings::cell_limit_settings const& machine);

/// For callers; `asked` is what the configuration says of their requests.
[[nodiscard]] network::server_limits
caller_limits(settings::cell_limit_settings const& machine,
              workload::request_limits const& asked);

/// For the other processes.
[[nodiscard]] network::server_limits
peer_limits(settings::cell_limit_settings const& machine,
            workload::request_limits const& asked);

/// For the platform's probes, and for those who collect metrics.
[[nodiscard]] network::server_limits probe_limits();

/// What the connections to all servers may hold together, in bytes.
[[nodiscard]] std::size_t
connection_bytes(settings::cell_limit_settings const& machine);

} // namespace berylhill::cell

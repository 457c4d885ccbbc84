#include <cell/node_limits.hpp>

#include <algorithm>
#include <cstdint>

namespace berylhill::cell
{

namespace
{

/// Connections to one instance: one for the hold request, which stays open, and
/// two for other orders, so that one unanswered order does not delay the next.
/// Instances limit and bill their connections.
constexpr std::size_t order_connections = 3;

/// Idle connections to instances are closed while they use more than one
/// descriptor in this many; the rest is for callers, the other processes and
/// the store.
constexpr std::int64_t order_share = 2;

/// Descriptors reserved for connections other than those of callers.
constexpr std::int64_t own_descriptors = 800;

/// Of the others, callers use one in this many, so that a crowd of them leaves
/// enough for the instances and the store.
constexpr std::int64_t caller_share = 3;

/// The connections of the other processes use one descriptor in this many.
constexpr std::int64_t peer_share = 6;

/// On a machine of few descriptors callers have so many connections all the
/// same.
constexpr std::int64_t min_caller_connections = 64;

/// Connections of the platform's probes, and of those who collect metrics.
constexpr std::size_t probe_connections = 64;

/// Memory budget of a waiting caller connection: a request and its answer.
constexpr std::int64_t connection_kb = 32;

/// Of the memory, connections to all servers together hold one part in this
/// many.
constexpr std::int64_t connection_share = 4;

constexpr std::int64_t kb_per_mb = 1'024;
constexpr std::int64_t bytes_per_kb = 1'024;

std::int64_t connection_memory_kb(settings::cell_limit_settings const& machine)
{
    return machine.memory_mb * kb_per_mb / connection_share;
}

} // namespace

network::client_limits
order_limits(settings::cell_limit_settings const& machine)
{
    network::client_limits out{order_connections, order_connections};
    out.open_with_idle =
        static_cast<std::size_t>(machine.descriptors / order_share);
    return out;
}

network::server_limits
caller_limits(settings::cell_limit_settings const& machine,
              workload::request_limits const& asked)
{
    auto const by_descriptors =
        std::max(min_caller_connections,
                 (machine.descriptors - own_descriptors) / caller_share);
    auto const by_memory = connection_memory_kb(machine) / connection_kb;
    network::server_limits out;
    out.header_bytes = asked.header_bytes;
    out.fields = static_cast<std::size_t>(machine.request_fields);
    out.body_bytes = asked.body_bytes;
    out.request_time = asked.header_timeout;
    out.idle_time = asked.idle_timeout;
    out.connections =
        static_cast<std::size_t>(std::min(by_descriptors, by_memory));
    return out;
}

/// A call that another process passes on is written anew, and may be longer
/// than it came.
network::server_limits peer_limits(settings::cell_limit_settings const& machine,
                                   workload::request_limits const& asked)
{
    network::server_limits out;
    out.body_bytes = 2 * asked.body_bytes;
    out.connections =
        static_cast<std::size_t>(machine.descriptors / peer_share);
    return out;
}

/// A probe and a question for metrics have no body, and few fields.
network::server_limits probe_limits()
{
    network::server_limits out;
    out.header_bytes = std::size_t{8} * 1'024;
    out.body_bytes = 1'024;
    out.connections = probe_connections;
    return out;
}

std::size_t connection_bytes(settings::cell_limit_settings const& machine)
{
    return static_cast<std::size_t>(connection_memory_kb(machine) *
                                    bytes_per_kb);
}

} // namespace berylhill::cell

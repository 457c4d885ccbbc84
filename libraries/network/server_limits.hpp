#pragma once

#include <base/time.hpp>

#include <array>
#include <cstddef>
#include <cstdint>

namespace berylhill::network
{

/// Limits of one connection, and of the number of connections. A value.
struct server_limits
{
    /// Of the request line and the header fields; also of the trailer fields,
    /// and of the extensions of a chunk.
    std::size_t header_bytes{16'384};
    /// Header and trailer fields together: each takes more memory than its
    /// bytes.
    std::size_t fields{128};
    std::size_t body_bytes{262'144};
    /// From the first byte of a request to its last.
    base::duration request_time{std::chrono::seconds{3}};
    /// Between requests.
    base::duration idle_time{std::chrono::seconds{15}};
    /// For one more, the connection that has been without a whole request for
    /// longest is closed; the new one, where each has a request that is being
    /// answered.
    std::size_t connections{3'000};

    friend bool operator==(server_limits const&,
                           server_limits const&) = default;
};

/// How often a limit was met. A value.
struct server_counts
{
    /// Connections closed for newer ones.
    std::uint64_t closed_for_new{0};
    /// Connections closed because all of them together held too much memory.
    std::uint64_t closed_for_memory{0};
    /// Requests with a part that was too large.
    std::uint64_t too_large{0};
    /// Requests whose last byte did not come in time.
    std::uint64_t too_slow{0};
    /// Whole requests that were refused because others took too much memory.
    std::uint64_t busy{0};

    friend bool operator==(server_counts const&,
                           server_counts const&) = default;
};

/// A limit and how often it was met. A value.
struct limit_count
{
    /// The label of the limit in metrics.
    char const* reason;
    std::uint64_t count;
};

[[nodiscard]] std::array<limit_count, 5> by_reason(server_counts const& it);

} // namespace berylhill::network

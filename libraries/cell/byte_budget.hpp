#pragma once

#include <base/time.hpp>

#include <cstddef>
#include <cstdint>

namespace berylhill::cell
{

/// A token bucket that limits the bytes sent for one purpose, so that other
/// traffic on the link is not delayed. Pure. Not thread-safe.
class byte_budget
{
public:
    /// `bytes_per_s` is the sustained rate, `depth` the largest burst in bytes.
    byte_budget(std::int64_t bytes_per_s, std::int64_t depth);

    /// Returns whether `bytes` may be sent now, and if so deducts them. A
    /// message larger than the depth is let through; later ones wait until it
    /// is paid off.
    [[nodiscard]] bool try_take(std::size_t bytes, base::instant now);

private:
    std::int64_t m_bytes_per_s;
    std::int64_t m_depth;
    std::int64_t m_left;
    base::instant m_at{};
};

} // namespace berylhill::cell

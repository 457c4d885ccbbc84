#pragma once

#include <base/time.hpp>

#include <cstddef>
#include <cstdint>

namespace berylhill::cell
{

/// A token bucket that limits what is sent or written for one purpose: bytes,
/// or lines of the log. Pure. Not thread-safe.
class token_bucket
{
public:
    /// `per_s` is the sustained rate, `depth` the largest burst, in tokens.
    token_bucket(std::int64_t per_s, std::int64_t depth);

    /// Returns whether `tokens` may be used now, and if so deducts them. A use
    /// of more than the depth is let through; later ones wait until it is paid
    /// off.
    [[nodiscard]] bool try_take(std::size_t tokens, base::instant now);

private:
    std::int64_t m_per_s;
    std::int64_t m_depth;
    std::int64_t m_left;
    base::instant m_at{};
};

} // namespace berylhill::cell

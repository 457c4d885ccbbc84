#pragma once

#include <base/time.hpp>

#include <cstddef>
#include <cstdint>

namespace berylhill::cell
{

/// How much may be sent for one purpose, so that what else goes over the link
/// is not held up. Pure. Not thread-safe.
class byte_budget
{
public:
    /// `bytes_per_s` over time, `depth` at once.
    byte_budget(std::int64_t bytes_per_s, std::int64_t depth);

    /// Whether so many bytes may be sent now; they then count. What is larger
    /// than the depth may be sent too, and what comes after waits for it.
    [[nodiscard]] bool try_take(std::size_t bytes, base::instant now);

private:
    std::int64_t m_bytes_per_s;
    std::int64_t m_depth;
    std::int64_t m_left;
    base::instant m_at{};
};

} // namespace berylhill::cell

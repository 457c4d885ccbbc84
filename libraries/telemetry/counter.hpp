#pragma once

#include <atomic>
#include <cstdint>

namespace berylhill::telemetry
{

/// Only rises. Thread-safe; costs one relaxed atomic addition.
class counter
{
public:
    void add(std::uint64_t n = 1) noexcept
    {
        m_value.fetch_add(n, std::memory_order_relaxed);
    }

    [[nodiscard]] std::uint64_t value() const noexcept
    {
        return m_value.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::uint64_t> m_value{0};
};

} // namespace berylhill::telemetry

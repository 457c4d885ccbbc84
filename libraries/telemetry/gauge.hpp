#pragma once

#include <atomic>

namespace berylhill::telemetry
{

/// Rises and falls. Thread-safe.
class gauge
{
public:
    void set(double value) noexcept
    {
        m_value.store(value, std::memory_order_relaxed);
    }

    void add(double by) noexcept
    {
        m_value.fetch_add(by, std::memory_order_relaxed);
    }

    [[nodiscard]] double value() const noexcept
    {
        return m_value.load(std::memory_order_relaxed);
    }

private:
    std::atomic<double> m_value{0};
};

} // namespace berylhill::telemetry

#pragma once

#include <compare>
#include <cstdint>

namespace berylhill::workload
{

/// The resources that a task needs or an instance has. A value.
struct resources
{
    /// Thousandths of a core.
    std::int64_t cpu_millis{0};
    std::int64_t memory_mb{0};
    std::int64_t gpus{0};

    friend bool operator==(resources const&, resources const&) = default;

    resources& operator+=(resources const& it) noexcept
    {
        cpu_millis += it.cpu_millis;
        memory_mb += it.memory_mb;
        gpus += it.gpus;
        return *this;
    }

    resources& operator-=(resources const& it) noexcept
    {
        cpu_millis -= it.cpu_millis;
        memory_mb -= it.memory_mb;
        gpus -= it.gpus;
        return *this;
    }
};

[[nodiscard]] inline resources operator+(resources a,
                                         resources const& b) noexcept
{
    return a += b;
}

[[nodiscard]] inline resources operator-(resources a,
                                         resources const& b) noexcept
{
    return a -= b;
}

/// Whether `need` is within `room` in every dimension.
[[nodiscard]] constexpr bool fits(resources const& need,
                                  resources const& room) noexcept
{
    return need.cpu_millis <= room.cpu_millis &&
           need.memory_mb <= room.memory_mb && need.gpus <= room.gpus;
}

} // namespace berylhill::workload

#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>

namespace berylhill::model
{

/// An amount of processors, memory and accelerators: what a worker has, what a
/// task needs, what a contract may use. Plain integers, so that sums are exact.
struct resources
{
    std::int64_t millicores{0};
    std::int64_t memory_mb{0};
    std::int64_t accelerators{0};

    /// Every dimension is at most the other's. Not a total order, which is why
    /// no operator stands for it.
    [[nodiscard]] constexpr bool fits_in(resources const& room) const noexcept
    {
        return millicores <= room.millicores && memory_mb <= room.memory_mb &&
               accelerators <= room.accelerators;
    }

    [[nodiscard]] constexpr bool empty() const noexcept
    {
        return *this == resources{};
    }

    [[nodiscard]] constexpr resources
    operator+(resources const& it) const noexcept
    {
        return {millicores + it.millicores, memory_mb + it.memory_mb,
                accelerators + it.accelerators};
    }

    [[nodiscard]] constexpr resources
    operator-(resources const& it) const noexcept
    {
        return {millicores - it.millicores, memory_mb - it.memory_mb,
                accelerators - it.accelerators};
    }

    [[nodiscard]] constexpr resources operator*(std::int64_t n) const noexcept
    {
        return {millicores * n, memory_mb * n, accelerators * n};
    }

    friend constexpr bool operator==(resources const&,
                                     resources const&) = default;
};

/// The largest of each dimension.
[[nodiscard]] constexpr resources largest_of(resources const& a,
                                             resources const& b) noexcept
{
    return {std::max(a.millicores, b.millicores),
            std::max(a.memory_mb, b.memory_mb),
            std::max(a.accelerators, b.accelerators)};
}

} // namespace berylhill::model

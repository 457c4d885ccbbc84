#pragma once

#include <chrono>
#include <cstdint>

namespace berylhill::base
{

/// All spans of time inside the process, in microseconds.
using duration = std::chrono::microseconds;

/// Marks instants of the monotonic clock, which is not comparable between
/// processes.
struct monotonic_epoch
{
    using duration = base::duration;
    using rep = duration::rep;
    using period = duration::period;
};

/// An instant of this process's monotonic clock.
using instant = std::chrono::time_point<monotonic_epoch, duration>;

/// Where the time comes from. Decision code takes an `instant` with each event
/// instead; only actors and threads hold a clock.
class clock
{
public:
    clock() = default;
    clock(clock const&) = delete;
    clock& operator=(clock const&) = delete;
    virtual ~clock() = default;

    /// Monotonic; thread-safe. It goes on while the process is stopped.
    [[nodiscard]] virtual instant now() const = 0;

    /// Microseconds since 1970 in UTC, for people and for logs only;
    /// thread-safe.
    [[nodiscard]] virtual std::int64_t wall_us() const = 0;
};

/// The machine's clock. CLOCK_BOOTTIME goes on during a suspend, so that a
/// right which lapsed meanwhile is seen to have lapsed.
class system_clock final : public clock
{
public:
    [[nodiscard]] instant now() const override;
    [[nodiscard]] std::int64_t wall_us() const override;
};

/// A clock that tests move by hand. Not thread-safe.
class manual_clock final : public clock
{
public:
    [[nodiscard]] instant now() const override
    {
        return m_now;
    }
    [[nodiscard]] std::int64_t wall_us() const override
    {
        return m_now.time_since_epoch().count();
    }
    void advance(duration by)
    {
        m_now += by;
    }

private:
    instant m_now{};
};

[[nodiscard]] constexpr double seconds_of(duration it) noexcept
{
    return std::chrono::duration<double>{it}.count();
}

[[nodiscard]] constexpr duration from_seconds(double it) noexcept
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>{it});
}

} // namespace berylhill::base

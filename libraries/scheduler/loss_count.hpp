#pragma once

#include <base/time.hpp>
#include <scheduler/orders.hpp>
#include <scheduler/policy.hpp>

#include <cstdint>

namespace berylhill::scheduler
{

/// Whether the attempt ended because its instance was lost, so that no instance
/// reported how it ended.
[[nodiscard]] constexpr bool instance_lost(end_reason it) noexcept
{
    return it == end_reason::instance_crashed ||
           it == end_reason::instance_left || it == end_reason::instance_silent;
}

/// Describes an attempt that has ended. A value.
struct ended_attempt
{
    end_reason reason{end_reason::done};
    /// Its instance had reported it as running.
    bool began{false};
    /// For how long it was reported as running.
    base::duration seen_work{0};

    friend bool operator==(ended_attempt const&,
                           ended_attempt const&) = default;
};

/// Counts the instances that were lost while they ran a task, since the task
/// was last seen to run for long. Decides whether to give up the task: a task
/// that crashes every instance that starts it destroys the work of all others
/// there, but most tasks on a lost instance are not the cause of its loss.
///
/// A value. Pure; not thread-safe.
class loss_count
{
public:
    loss_count() = default;

    /// Restores a stored count. Precondition: `at_start` is at most `losses`.
    loss_count(std::uint32_t losses, std::uint32_t at_start)
        : m_losses{losses}
        , m_at_start{at_start}
    {
    }

    /// Returns the count after one more attempt.
    [[nodiscard]] loss_count after(ended_attempt const& it,
                                   policy const& rules) const;

    /// Returns the count without so many losses that were no crashes.
    /// Precondition: they are counted, and not as crashes at a start.
    [[nodiscard]] loss_count without(std::uint32_t losses) const noexcept
    {
        return {m_losses - losses, m_at_start};
    }

    /// Whether the task is not started again.
    [[nodiscard]] bool given_up(policy const& rules) const noexcept
    {
        return m_losses >= rules.losses_to_give_up ||
               m_at_start >= rules.crashes_to_give_up;
    }

    /// Whether the next attempt may crash its instance.
    [[nodiscard]] bool suspect() const noexcept
    {
        return m_losses > 0;
    }

    [[nodiscard]] std::uint32_t losses() const noexcept
    {
        return m_losses;
    }

    /// The number of losses in which the instance certainly crashed just after
    /// it had started the task.
    [[nodiscard]] std::uint32_t at_start() const noexcept
    {
        return m_at_start;
    }

    friend bool operator==(loss_count const&, loss_count const&) = default;

private:
    std::uint32_t m_losses{0};
    std::uint32_t m_at_start{0};
};

} // namespace berylhill::scheduler

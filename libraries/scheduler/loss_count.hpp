#pragma once

#include <base/time.hpp>
#include <scheduler/orders.hpp>
#include <scheduler/policy.hpp>

#include <cstdint>

namespace berylhill::scheduler
{

/// No instance said how the attempt ended: it was lost itself.
[[nodiscard]] constexpr bool instance_lost(end_reason it) noexcept
{
    return it == end_reason::instance_crashed ||
           it == end_reason::instance_left || it == end_reason::instance_silent;
}

/// What is known of an attempt that has ended. A value.
struct ended_attempt
{
    end_reason reason{end_reason::done};
    /// Its instance had said that it runs.
    bool began{false};
    /// For how long it was then seen to run.
    base::duration seen_work{0};

    friend bool operator==(ended_attempt const&,
                           ended_attempt const&) = default;
};

/// The instances that were lost under one task since it was last seen to run
/// for long. Decides whether the task is given up: one that crashes every
/// instance that starts it costs all others their work there, while most tasks
/// that lose an instance were beside such a one, or beside none.
///
/// A value. Pure; not thread-safe.
class loss_count
{
public:
    loss_count() = default;

    /// As it was stored. Precondition: `at_start` is at most `losses`.
    loss_count(std::uint32_t losses, std::uint32_t at_start)
        : m_losses{losses}
        , m_at_start{at_start}
    {
    }

    /// The count after one more attempt.
    [[nodiscard]] loss_count after(ended_attempt const& it,
                                   policy const& rules) const;

    /// The task is not started again.
    [[nodiscard]] bool given_up(policy const& rules) const noexcept
    {
        return m_losses >= rules.losses_to_give_up ||
               m_at_start >= rules.crashes_to_give_up;
    }

    /// Its next start may crash its instance.
    [[nodiscard]] bool suspect() const noexcept
    {
        return m_losses > 0;
    }

    [[nodiscard]] std::uint32_t losses() const noexcept
    {
        return m_losses;
    }

    /// Those of which it is sure that the instance crashed, just after it had
    /// started the task.
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

#pragma once

#include <cstdint>
#include <vector>

namespace berylhill::scheduler
{

/// The start orders sent for one attempt. An order whose answer is awaited or
/// never came may still be carried out, whatever the answers to the others are.
///
/// A value. Pure; not thread-safe.
class start_sends
{
public:
    /// Adds an order that is sent now. Returns its number; the first is 1.
    std::uint32_t add();

    /// The order was answered. Has no effect if its answer is not awaited.
    void answered(std::uint32_t send);

    /// The wait for the order's answer ended without one. Has no effect if its
    /// answer is not awaited.
    void timed_out(std::uint32_t send);

    [[nodiscard]] std::uint32_t sent() const noexcept
    {
        return m_sent;
    }

    /// Whether any of the orders may still be carried out, unless the attempt
    /// is stopped or its lease has expired.
    [[nodiscard]] bool any_under_way() const noexcept
    {
        return !m_awaited.empty() || m_unanswered > 0;
    }

    /// Number of orders whose answers are awaited.
    [[nodiscard]] std::uint32_t awaited() const noexcept
    {
        return static_cast<std::uint32_t>(m_awaited.size());
    }

    /// Number of orders that got no answer in time.
    [[nodiscard]] std::uint32_t unanswered() const noexcept
    {
        return m_unanswered;
    }

    friend bool operator==(start_sends const&, start_sends const&) = default;

private:
    /// Returns whether the order's answer was awaited.
    bool take(std::uint32_t send);

    std::uint32_t m_sent{0};
    std::uint32_t m_unanswered{0};
    std::vector<std::uint32_t> m_awaited;
};

} // namespace berylhill::scheduler

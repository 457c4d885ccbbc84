#pragma once

#include <base/time.hpp>

namespace berylhill::cell
{

/// Decides when the owner's next scheduling round may begin. Rounds use at most
/// a third of the event loop's time; the rest is for calls about jobs,
/// cancellations and the other processes, which wait for a round to end.
///
/// Without this limit, when there is more to decide than the instance's
/// processor can handle, rounds follow each other immediately and callers whose
/// answers are ready wait behind them. Pure. Not thread-safe.
class round_throttle
{
public:
    void began(base::instant now)
    {
        m_began = now;
    }

    void ended(base::instant now);

    [[nodiscard]] base::instant next() const noexcept
    {
        return m_next;
    }

private:
    base::instant m_began{};
    base::instant m_next{};
};

} // namespace berylhill::cell

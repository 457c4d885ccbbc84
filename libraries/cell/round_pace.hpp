#pragma once

#include <base/time.hpp>

namespace berylhill::cell
{

/// When the owner's next round of decisions may begin. Rounds take a third of
/// the event loop's time at most, whatever there is to decide: the other two
/// are for calls about jobs, cancellations and the other processes, which wait
/// for a round to end.
///
/// Answers a load with more to decide than an instance's processor can do: a
/// round then begins as soon as the one before has ended, and callers whose
/// answers are ready wait behind both. Pure. Not thread-safe.
class round_pace
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

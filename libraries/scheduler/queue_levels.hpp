#pragma once

#include <base/time.hpp>

#include <map>
#include <string>

namespace berylhill::scheduler
{

/// How well each queue was served lately, and how much earlier its turn comes
/// for that. Where more is asked than fits, an order by deadlines alone has
/// one queue pay for all the others; with this they pay alike. Where
/// everything is in time it changes nothing.
///
/// Answers a load that asks for more than the cell holds, part of it gangs,
/// which lose each race for room against single tasks.
///
/// Pure. Not thread-safe.
class queue_levels
{
public:
    /// `full_lead`: the lead of a queue whose jobs were all late over one
    /// whose jobs were all in time; 0: none ever.
    explicit queue_levels(base::duration full_lead)
        : m_full_lead{full_lead}
    {
    }

    /// A job of the queue was in time, or is known not to be.
    void note(std::string const& queue, bool in_time, base::instant now);

    /// How much earlier than by its deadline a step of the queue has its turn;
    /// below 0: later.
    [[nodiscard]] base::duration lead(std::string const& queue) const;

private:
    struct level
    {
        /// Recent jobs, and those in time among them, both fading with time.
        double jobs{0};
        double in_time{0};
        base::instant noted_at{};
    };

    [[nodiscard]] static double share(level const& of);

    base::duration m_full_lead;
    std::map<std::string, level> m_levels;
};

} // namespace berylhill::scheduler

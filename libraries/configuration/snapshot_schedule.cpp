#include <configuration/snapshot_schedule.hpp>

namespace berylhill::configuration
{

namespace
{

/// The share of the period by which each rank waits longer than the one before,
/// and after which a snapshot that was not seen is written again.
constexpr int s_steps = 10;
/// The share of the period at which the lowest rank writes; the rest is left
/// to the others, for when it does not.
constexpr int s_first_step = 5;

} // namespace

snapshot_schedule::snapshot_schedule(base::duration period, base::instant now)
    : m_period{period}
    // Nobody knows how old the last snapshot is. Were the first one due only
    // after half a period, instances that are all restarted more often would
    // never write any, and retention would drop the last.
    , m_due{now + period / s_steps}
{
}

void snapshot_schedule::seen(base::instant now)
{
    m_due = now + m_period * s_first_step / s_steps;
}

bool snapshot_schedule::due(base::instant now, std::size_t rank)
{
    auto const step = m_period / s_steps;
    if (now < m_due + step * static_cast<std::int64_t>(rank))
    {
        return false;
    }
    m_due = now + step;
    return true;
}

} // namespace berylhill::configuration

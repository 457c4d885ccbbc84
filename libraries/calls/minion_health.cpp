#include <calls/minion_health.hpp>

#include <algorithm>
#include <cmath>

namespace berylhill::calls
{

namespace
{

/// Weight of the newest call in the moving average.
constexpr double s_newest = 0.2;
/// The ejection count is reset when the last ejection was longer ago than this
/// multiple of the longest ejection.
constexpr std::int32_t s_forgiven_after = 5;
constexpr std::int32_t s_most_doublings = 10;

} // namespace

void minion_health::ended(call_end end, base::duration run, base::instant now)
{
    m_ended = std::min(m_ended + 1, m_settings.least_calls);
    auto const bad = end != call_end::succeeded;
    m_failing += s_newest * ((bad ? 1.0 : 0.0) - m_failing);
    if (!bad)
    {
        m_last_good = now;
        learn_run(run);
    }
    if (m_state != health_state::trial)
    {
        return;
    }
    if (bad)
    {
        eject(now);
        return;
    }
    if (++m_trial_good >= m_settings.trial_calls)
    {
        m_state = health_state::in;
        m_growing = true;
        m_returned = now;
    }
}

void minion_health::answered_late(base::duration run, base::instant now)
{
    m_last_good = now;
    learn_run(run);
}

void minion_health::learn_run(base::duration run)
{
    auto const old = base::seconds_of(m_run);
    auto const step = s_newest * (base::seconds_of(run) - old);
    m_run = m_run.count() == 0 ? run : base::from_seconds(old + step);
}

void minion_health::eject(base::instant now)
{
    auto const long_ago = m_settings.longest_ejection * s_forgiven_after;
    if (m_ejections > 0 && now - m_last_ejected > long_ago)
    {
        m_ejections = 0;
    }
    auto const doublings = std::min(m_ejections, s_most_doublings);
    auto const span = std::min(m_settings.first_ejection * (1 << doublings),
                               m_settings.longest_ejection);
    ++m_ejections;
    m_last_ejected = now;
    m_until = now + span;
    m_state = health_state::ejected;
    m_growing = false;
    // Its statistics start from zero when it returns.
    m_ended = 0;
    m_failing = 0;
    m_run = base::duration{0};
}

bool minion_health::start_probe(base::instant now)
{
    if (m_state != health_state::ejected || now < m_until)
    {
        return false;
    }
    m_state = health_state::probing;
    return true;
}

void minion_health::probed(bool there, base::instant now)
{
    if (m_state != health_state::probing)
    {
        return;
    }
    if (!there)
    {
        eject(now);
        return;
    }
    m_state = health_state::trial;
    m_trial_good = 0;
}

std::int32_t minion_health::usable(std::int32_t slots, base::instant now) const
{
    switch (m_state)
    {
    case health_state::ejected:
    case health_state::probing:
        return 0;
    case health_state::trial:
        return std::min(slots, 1);
    case health_state::in:
        break;
    }
    if (!m_growing || now - m_returned >= m_settings.slow_start)
    {
        return slots;
    }
    auto const part = base::seconds_of(now - m_returned) /
                      base::seconds_of(m_settings.slow_start);
    auto const grown = std::ceil(part * static_cast<double>(slots));
    return std::clamp(static_cast<std::int32_t>(grown), std::min(slots, 1),
                      slots);
}

} // namespace berylhill::calls

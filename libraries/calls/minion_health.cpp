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
    m_ended_calls = std::min(m_ended_calls + 1, m_settings.min_calls);
    auto const bad = end != call_end::succeeded;
    m_failure_rate += s_newest * ((bad ? 1.0 : 0.0) - m_failure_rate);
    if (!bad)
    {
        m_last_success = now;
        update_run_time(run);
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
    if (++m_trial_successes >= m_settings.trial_calls)
    {
        m_state = health_state::active;
        m_growing = true;
        m_returned_at = now;
    }
}

void minion_health::answered_late(base::duration run, base::instant now)
{
    m_last_success = now;
    update_run_time(run);
}

void minion_health::update_run_time(base::duration run)
{
    auto const old = base::seconds_of(m_run_time);
    auto const step = s_newest * (base::seconds_of(run) - old);
    m_run_time = m_run_time.count() == 0 ? run : base::from_seconds(old + step);
}

void minion_health::eject(base::instant now)
{
    auto const long_ago = m_settings.max_ejection * s_forgiven_after;
    if (m_ejections > 0 && now - m_last_ejected > long_ago)
    {
        m_ejections = 0;
    }
    auto const doublings = std::min(m_ejections, s_most_doublings);
    auto const span = std::min(m_settings.first_ejection * (1 << doublings),
                               m_settings.max_ejection);
    ++m_ejections;
    m_last_ejected = now;
    m_ejected_until = now + span;
    m_state = health_state::ejected;
    m_growing = false;
    // Its statistics start from zero when it returns.
    m_ended_calls = 0;
    m_failure_rate = 0;
    m_run_time = base::duration{0};
}

bool minion_health::start_probe(base::instant now)
{
    if (m_state != health_state::ejected || now < m_ejected_until)
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
    m_trial_successes = 0;
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
    case health_state::active:
        break;
    }
    if (!m_growing || now - m_returned_at >= m_settings.slow_start)
    {
        return slots;
    }
    auto const part = base::seconds_of(now - m_returned_at) /
                      base::seconds_of(m_settings.slow_start);
    auto const grown = std::ceil(part * static_cast<double>(slots));
    return std::clamp(static_cast<std::int32_t>(grown), std::min(slots, 1),
                      slots);
}

} // namespace berylhill::calls

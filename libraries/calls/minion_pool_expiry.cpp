#include <calls/minion_pool.hpp>

#include <algorithm>

/// The time-driven part of the pool: deadlines, lingering slots, probes and
/// removal of old state.
namespace berylhill::calls
{

namespace
{

/// Maximum interval between checks of ejections, lingering slots and deadlines.
constexpr base::duration s_look_every{std::chrono::milliseconds{50}};
/// Window after which the count of refusals, which Retry-After depends on, is
/// halved; in seconds.
constexpr double s_refused_window_s = 1;

} // namespace

minion_pool_actions minion_pool::expire(base::instant now)
{
    minion_pool_actions out;
    forget_seen(now);
    auto const window = base::seconds_of(now - m_refused_since);
    if (window >= s_refused_window_s)
    {
        m_refused /= 2;
        m_refused_since = now;
    }
    for (auto& [id, minion] : m_minions)
    {
        for (auto const& ended : minion.expire(now))
        {
            m_sent_calls.erase(ended);
        }
        if (minion.health().start_probe(now))
        {
            out.emplace_back(probe_minion{id});
        }
    }
    give_up_expired(now, out);
    eject_unresponsive(now);
    erase_removed();
    auto const least = now + base::from_seconds(m_fast_run_time_s);
    for (auto const& it : m_queue.take_expiring(least))
    {
        refuse(it, refusal_code::deadline_too_short, now, out);
    }
    dispatch(now, out);
    return out;
}

base::instant minion_pool::next_expiry(base::instant now) const
{
    auto next = now + s_look_every;
    if (auto const deadline = m_queue.earliest_deadline())
    {
        next =
            std::min(next, *deadline - base::from_seconds(m_fast_run_time_s));
    }
    if (!m_deadlines.empty())
    {
        next = std::min(next, m_deadlines.top().first);
    }
    return std::max(next, now + base::duration{1});
}

void minion_pool::forget_seen(base::instant now)
{
    while (!m_seen_until.empty() && m_seen_until.top().first <= now)
    {
        m_seen.erase(m_seen_until.top().second);
        m_seen_until.pop();
    }
}

void minion_pool::give_up_expired(base::instant now, minion_pool_actions& out)
{
    while (!m_deadlines.empty() && m_deadlines.top().first <= now)
    {
        auto const id = m_deadlines.top().second;
        m_deadlines.pop();
        auto const found = m_sent_calls.find(id);
        if (found != m_sent_calls.end() && found->second.awaited)
        {
            stop_waiting(id, found->second, out);
            record_timeout(found->second, now);
        }
    }
}

} // namespace berylhill::calls

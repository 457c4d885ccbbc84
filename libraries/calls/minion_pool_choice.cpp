#include <calls/minion_pool.hpp>

#include <algorithm>
#include <cmath>

/// The part of the pool that makes decisions: sending, queueing or refusing
/// calls, and ejecting minions. The event handlers are in minion_pool.cpp.
namespace berylhill::calls
{

namespace
{

/// Weight of the newest call in the group's smoothed running time.
constexpr double s_newest = 0.05;
/// Fraction of the answers that are at least as fast as the fast running time.
constexpr double s_fast_part = 0.1;
/// A queued call must have this many running times left: nearly all answers
/// come within it, about half of them within one.
constexpr double s_margin_runs = 2;
/// Number of overdue calls from which a minion counts as not answering.
constexpr std::int32_t s_hanging = 2;
constexpr double s_least_retry_s = 0.2;
constexpr double s_longest_retry_s = 30;

} // namespace

void minion_pool::dispatch(base::instant now, minion_pool_actions& out)
{
    while (!m_queue.empty())
    {
        auto* minion = least_loaded(base::from_seconds(m_allowed_s), now);
        if (minion == nullptr)
        {
            return;
        }
        auto const it = m_queue.pop();
        // While other calls wait, the slot goes to a call that will be answered
        // in time.
        auto const least = m_queue.empty() ? m_fast_run_time_s : m_run_time_s;
        if (base::seconds_of(it->deadline - now) <= least)
        {
            refuse(*it, refusal_code::deadline_too_short, now, out);
            continue;
        }
        send(*it, *minion, now, out);
    }
}

void minion_pool::enqueue(call const& it,
                          base::instant now,
                          minion_pool_actions& out)
{
    if (usable_slots(now) == 0)
    {
        refuse(it, refusal_code::no_minion, now, out);
        return;
    }
    auto const wait = expected_wait(m_queue.calls_before(it), now);
    auto const run = base::from_seconds(s_margin_runs * m_run_time_s);
    if (now + wait + run > it.deadline)
    {
        refuse(it, refusal_code::deadline_too_short, now, out);
        return;
    }
    m_queue.push(it);
    out.emplace_back(call_queued{it.request_id, wait});
    auto const most = static_cast<std::size_t>(m_settings.max_queued);
    auto const whole = expected_wait(static_cast<double>(m_queue.size()), now);
    auto const longest =
        std::min(m_settings.max_wait,
                 base::from_seconds(m_settings.max_wait_runs * m_run_time_s));
    if (m_queue.size() > most || whole > longest)
    {
        auto const victim = m_queue.shed();
        refuse(*victim, refusal_code::overloaded, now, out);
    }
}

minion_slots* minion_pool::least_loaded(base::duration left, base::instant now)
{
    minion_slots* best = nullptr;
    double least = 0;
    for (auto& [id, minion] : m_minions)
    {
        if (!minion.has_room(now))
        {
            continue;
        }
        auto const slots = std::max(minion.endpoint().slots, std::int32_t{1});
        // The random term decides between equally loaded minions only.
        auto load =
            (static_cast<double>(minion.busy()) + uniform(m_random, 0, 0.5)) /
            static_cast<double>(slots);
        // A minion slower than the time left is ranked last, but not excluded:
        // if all were that slow, none would get calls any more, and it would
        // not be noticed when they become fast again.
        load += minion.health().run_time() > left ? 1 : 0;
        if (best == nullptr || load < least)
        {
            best = &minion;
            least = load;
        }
    }
    return best;
}

void minion_pool::refuse(call const& it,
                         refusal_code code,
                         base::instant now,
                         minion_pool_actions& out)
{
    m_refused += 1;
    // Clients refused earlier will retry as well. Spreading the retries over
    // the time that it takes to serve them keeps them from finding the group
    // full again all together.
    auto const ahead = m_refused + static_cast<double>(m_queue.size());
    auto const spread = std::clamp(base::seconds_of(expected_wait(ahead, now)),
                                   s_least_retry_s, s_longest_retry_s);
    out.emplace_back(refuse_call{
        it.request_id,
        {ran::not_run, code, "group " + m_group + " has no free slot in time",
         uniform(m_random, spread / 2, spread * 1.5)}});
}

void minion_pool::update_run_time(base::duration run)
{
    auto const seconds = base::seconds_of(run);
    m_run_time_s += s_newest * (seconds - m_run_time_s);
    // A quantile estimate: the steps up and down balance where a tenth of the
    // answers is faster.
    auto const step = s_newest * m_run_time_s;
    m_fast_run_time_s += seconds < m_fast_run_time_s ? -step * (1 - s_fast_part)
                                                     : step * s_fast_part;
    m_fast_run_time_s = std::clamp(m_fast_run_time_s, 0.0, m_run_time_s);
}

void minion_pool::eject_outlier(minion_slots& minion, base::instant now)
{
    auto& health = minion.health();
    auto const in_time =
        !m_queue.empty() && base::seconds_of(health.run_time()) < m_allowed_s;
    auto const help =
        in_time ? slow_minion_use::in_time : slow_minion_use::none;
    if (m_ejection.is_outlier(health, peer_statistics_of(minion), help) &&
        may_eject())
    {
        health.eject(now);
    }
}

void minion_pool::eject_unresponsive(base::instant now)
{
    for (auto& [id, minion] : m_minions)
    {
        auto& health = minion.health();
        if (health.state() != health_state::active)
        {
            continue;
        }
        auto const peers = peer_statistics_of(minion);
        // One long call alone proves nothing; several, while nothing else was
        // answered, do.
        if (m_ejection.is_unresponsive(health, peers, now) &&
            minion.count_running_longer(m_ejection.silence_threshold(peers),
                                        now) >= s_hanging &&
            may_eject())
        {
            health.eject(now);
        }
    }
}

void minion_pool::erase_removed()
{
    std::erase_if(m_removed,
                  [&](std::string const& id)
                  {
                      auto const it = m_minions.find(id);
                      if (it != m_minions.end() && it->second.busy() > 0)
                      {
                          return false;
                      }
                      m_minions.erase(id);
                      return true;
                  });
}

bool minion_pool::may_eject() const
{
    std::size_t all = 0;
    std::size_t out = 0;
    for (auto const& [id, minion] : m_minions)
    {
        if (minion.leaving())
        {
            continue;
        }
        ++all;
        out += minion.health().state() == health_state::active ? 0 : 1;
    }
    return m_ejection.may_eject(all, out);
}

peer_statistics
minion_pool::peer_statistics_of(minion_slots const& except) const
{
    std::vector<minion_health const*> peers;
    for (auto const& [id, minion] : m_minions)
    {
        if (&minion != &except)
        {
            peers.push_back(&minion.health());
        }
    }
    return ejection_rules::statistics_of(peers);
}

std::int32_t minion_pool::usable_slots(base::instant now) const
{
    std::int32_t n = 0;
    for (auto const& [id, minion] : m_minions)
    {
        n += minion.usable(now);
    }
    return n;
}

base::duration minion_pool::expected_wait(double turns, base::instant now) const
{
    auto const slots = std::max(usable_slots(now), std::int32_t{1});
    return base::from_seconds((turns + 1) * m_run_time_s /
                              static_cast<double>(slots));
}

} // namespace berylhill::calls

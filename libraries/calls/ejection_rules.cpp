#include <calls/ejection_rules.hpp>

#include <algorithm>

namespace berylhill::calls
{

namespace
{

/// A minion's failure rate is an outlier if it is at least this multiple of the
/// median of its peers.
constexpr double s_clearly_more = 2;

template <class T>
T median_of(std::vector<T> values)
{
    if (values.empty())
    {
        return T{};
    }
    // Of two middle values, take the lower one: the better peer shows what a
    // minion can achieve.
    auto const middle =
        values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

} // namespace

peer_statistics
ejection_rules::statistics_of(std::vector<minion_health const*> const& peers)
{
    std::vector<base::duration> runs;
    std::vector<double> failing;
    base::instant last_good;
    for (auto const* it : peers)
    {
        last_good = std::max(last_good, it->last_success());
        if (it->state() != health_state::active || !it->has_enough_calls())
        {
            continue;
        }
        failing.push_back(it->failure_rate());
        if (it->run_time().count() > 0)
        {
            runs.push_back(it->run_time());
        }
    }
    return {failing.size(), median_of(runs), median_of(failing), last_good};
}

bool ejection_rules::is_outlier(minion_health const& it,
                                peer_statistics const& peers,
                                slow_minion_use help) const
{
    if (it.state() != health_state::active || !it.has_enough_calls() ||
        peers.judged_peers == 0)
    {
        return false;
    }
    if (it.failure_rate() >= m_settings.failure_threshold &&
        it.failure_rate() >= s_clearly_more * peers.failure_rate)
    {
        return true;
    }
    if (peers.run_time.count() == 0 || help == slow_minion_use::in_time)
    {
        return false;
    }
    return base::seconds_of(it.run_time()) >
           m_settings.slow_factor * base::seconds_of(peers.run_time);
}

base::duration
ejection_rules::silence_threshold(peer_statistics const& peers) const
{
    auto const long_run = base::from_seconds(m_settings.unresponsive_factor *
                                             base::seconds_of(peers.run_time));
    return std::max(long_run, m_settings.min_silence);
}

bool ejection_rules::is_unresponsive(minion_health const& it,
                                     peer_statistics const& peers,
                                     base::instant now) const
{
    auto const since = now - silence_threshold(peers);
    return it.last_success() < since && peers.last_success >= since;
}

bool ejection_rules::may_eject(std::size_t all, std::size_t out) const
{
    auto const most =
        m_settings.max_ejected_fraction * static_cast<double>(all);
    return out + 1 < all && static_cast<double>(out + 1) <= most;
}

} // namespace berylhill::calls

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

peer_figures
ejection_rules::figures_of(std::vector<minion_health const*> const& peers)
{
    std::vector<base::duration> runs;
    std::vector<double> failing;
    base::instant last_good;
    for (auto const* it : peers)
    {
        last_good = std::max(last_good, it->last_good());
        if (it->state() != health_state::in || !it->known())
        {
            continue;
        }
        failing.push_back(it->failing());
        if (it->run().count() > 0)
        {
            runs.push_back(it->run());
        }
    }
    return {failing.size(), median_of(runs), median_of(failing), last_good};
}

bool ejection_rules::is_outlier(minion_health const& it,
                                peer_figures const& peers,
                                slow_help help) const
{
    if (it.state() != health_state::in || !it.known() || peers.peers == 0)
    {
        return false;
    }
    if (it.failing() >= m_settings.failing_part &&
        it.failing() >= s_clearly_more * peers.failing)
    {
        return true;
    }
    if (peers.run.count() == 0 || help == slow_help::in_time)
    {
        return false;
    }
    return base::seconds_of(it.run()) >
           m_settings.slow_factor * base::seconds_of(peers.run);
}

base::duration ejection_rules::silence(peer_figures const& peers) const
{
    auto const long_run = base::from_seconds(m_settings.silent_factor *
                                             base::seconds_of(peers.run));
    return std::max(long_run, m_settings.least_silence);
}

bool ejection_rules::is_silent(minion_health const& it,
                               peer_figures const& peers,
                               base::instant now) const
{
    auto const since = now - silence(peers);
    return it.last_good() < since && peers.last_good >= since;
}

bool ejection_rules::may_eject(std::size_t all, std::size_t out) const
{
    auto const most = m_settings.most_ejected * static_cast<double>(all);
    return out + 1 < all && static_cast<double>(out + 1) <= most;
}

} // namespace berylhill::calls

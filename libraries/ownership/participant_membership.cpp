/// Membership and failure detection of a participant.
#include <ownership/participant.hpp>

#include <algorithm>
#include <utility>

namespace berylhill::ownership
{

void participant::request_join(base::instant, actions& out)
{
    if (is_member() || has_pending<join>())
    {
        return;
    }
    append(join{m_options.incarnation, m_options.instance, m_options.zone},
           out);
}

void participant::publish_seen(actions& out)
{
    if (!is_member() || has_pending<seen>())
    {
        return;
    }
    auto const& own = m_table.members().at(m_options.incarnation);
    auto const joined_later = [&](auto const& it)
    {
        return it.second.join_offset > own.seen_through;
    };
    if (std::any_of(m_table.members().begin(), m_table.members().end(),
                    joined_later))
    {
        append(seen{m_options.incarnation, m_table.next()}, out);
    }
}

void participant::remove_unlisted_members(base::instant now, actions& out)
{
    if (!is_member() || has_pending<removal>())
    {
        return;
    }
    for (auto const& [incarnation, it] : m_table.members())
    {
        auto const was_unlisted = m_ever_listed.contains(it.instance) &&
                                  !m_listed.contains(it.instance);
        if (incarnation == m_options.incarnation || !was_unlisted ||
            is_alive(incarnation, now, m_options.isolated_suspect_after) ||
            !is_preferred_for(incarnation, now))
        {
            continue;
        }
        append(removal{incarnation}, out);
        return;
    }
}

bool participant::is_alive(std::string const& incarnation,
                           base::instant now,
                           base::duration timeout) const
{
    if (incarnation == m_options.incarnation)
    {
        return true;
    }
    if (!m_watched.contains(incarnation))
    {
        return !is_suspected(incarnation, now);
    }
    auto const it = m_peers.find(incarnation);
    auto const last = it == m_peers.end() ? m_started : it->second.last_heard;
    return now - last <= timeout;
}

/// Heartbeats of the others are not synchronous, so in a network failure their
/// timeouts expire one after another. A process therefore counts as heard only
/// within two thirds of `suspect_after`. Otherwise this process would suspect
/// the first one and claim its units before it detects that it is isolated.
bool participant::is_isolated(base::instant now) const
{
    auto const others = m_watched.size();
    auto const heard_timeout = m_options.suspect_after * 2 / 3;
    std::size_t heard = 0;
    for (auto const& it : m_watched)
    {
        heard += is_alive(it, now, heard_timeout) ? 1 : 0;
    }
    return others >= m_options.min_peers_for_isolation && heard * 2 < others;
}

base::duration participant::suspect_timeout(base::instant now) const
{
    return is_isolated(now) ? m_options.isolated_suspect_after
                            : m_options.suspect_after;
}

/// Prevents a process that is partitioned from the others, but not from the
/// log, from repeatedly claiming every unit of the cell. Each unit would be
/// idle until its claim is active. By the time this process may claim units of
/// the others, those that are alive have claimed its own units, and it has read
/// their claims. A process without units cannot detect the partition this way,
/// and waits until the others are removed from the platform's endpoint list.
bool participant::is_probably_partitioned(base::instant now) const
{
    if (!is_isolated(now))
    {
        return false;
    }
    auto const has_claimed = [&](std::string const& incarnation)
    {
        auto const it = m_peers.find(incarnation);
        return it != m_peers.end() &&
               it->second.last_claim_read >
                   it->second.last_heard + m_options.suspect_after;
    };
    return m_active_from.empty() ||
           std::any_of(m_watched.begin(), m_watched.end(), has_claimed);
}

/// Requires recent reports of two watchers, because one may itself be
/// partitioned.
bool participant::is_suspected(std::string const& incarnation,
                               base::instant now) const
{
    auto const reports = m_suspected.find(incarnation);
    if (reports == m_suspected.end())
    {
        return false;
    }
    auto const is_recent = [&](auto const& it)
    {
        return now - it.second <= 2 * m_options.suspicion_interval;
    };
    return std::count_if(reports->second.begin(), reports->second.end(),
                         is_recent) >= 2;
}

void participant::update_watchers()
{
    std::vector<candidate> all;
    all.reserve(m_table.members().size());
    for (auto const& [incarnation, it] : m_table.members())
    {
        all.push_back({incarnation, it.instance, it.zone});
    }
    // Quadratic in the number of members, so done only when they change.
    if (all == m_watch_inputs)
    {
        return;
    }
    m_watched.clear();
    m_watchers.clear();
    for (auto const& it : all)
    {
        for (auto const& watcher : watchers_of(it, all, m_options.max_watchers))
        {
            if (watcher.incarnation == m_options.incarnation)
            {
                m_watched.insert(it.incarnation);
            }
            if (it.incarnation == m_options.incarnation)
            {
                m_watchers.insert(watcher.instance);
            }
        }
    }
    std::erase_if(m_suspected, [&](auto const& it)
                  { return !m_table.members().contains(it.first); });
    m_watch_inputs = std::move(all);
}

std::set<std::string> participant::heartbeat_targets() const
{
    if (!m_stopping && is_member())
    {
        return m_watchers;
    }
    // All processes need to know that this process is leaving, or that it is
    // alive before it has joined.
    std::set<std::string> all = m_listed;
    for (auto const& [incarnation, it] : m_table.members())
    {
        all.insert(it.instance);
    }
    all.erase(m_options.instance);
    return all;
}

void participant::report_silent_peers(base::instant now, actions& out)
{
    auto const watches_all_members =
        m_watched.size() + 1 >= m_table.members().size();
    if (watches_all_members ||
        now - m_last_suspicion_at < m_options.suspicion_interval)
    {
        return;
    }
    m_last_suspicion_at = now;
    for (auto const& silent : m_watched)
    {
        if (is_alive(silent, now, m_options.suspect_after))
        {
            continue;
        }
        for (auto const& [incarnation, it] : m_table.members())
        {
            if (incarnation != m_options.incarnation && incarnation != silent)
            {
                out.emplace_back(send_suspicion{
                    it.instance, {m_options.incarnation, silent}});
            }
        }
    }
}

std::vector<candidate> participant::live_members(base::instant now) const
{
    auto const timeout = suspect_timeout(now);
    std::vector<candidate> found;
    for (auto const& [incarnation, it] : m_table.members())
    {
        if (is_alive(incarnation, now, timeout))
        {
            found.push_back({incarnation, it.instance, it.zone});
        }
    }
    return found;
}

/// The processes that may become owner of a unit. `all_listed_answered` relies
/// on these being on the platform's endpoint list.
std::vector<candidate> participant::eligible_owners(base::instant now) const
{
    auto found = live_members(now);
    std::erase_if(found,
                  [&](candidate const& it)
                  {
                      auto const known = m_peers.find(it.incarnation);
                      auto const is_leaving =
                          it.incarnation == m_options.incarnation
                              ? m_stopping
                              : known != m_peers.end() && known->second.leaving;
                      return is_leaving || !m_listed.contains(it.instance);
                  });
    return found;
}

bool participant::is_preferred_for(std::string const& key,
                                   base::instant now) const
{
    auto const order = preference_order(key, live_members(now));
    return !order.empty() && order.front() == m_options.incarnation;
}

unit_counts participant::count_units() const
{
    unit_counts load;
    for (auto const& [name, it] : m_table.units())
    {
        if (!it.released && m_units.contains(name))
        {
            ++load[it.incarnation];
        }
    }
    return load;
}

} // namespace berylhill::ownership

/// Who takes part, as a tenure sees it, and its own part in that.
#include <ownership/tenure.hpp>

#include <algorithm>

namespace berylhill::ownership
{

void tenure::take_part(base::instant, actions& out)
{
    if (is_member() || has_pending<join>())
    {
        return;
    }
    append(join{m_options.incarnation, m_options.instance, m_options.zone},
           out);
}

void tenure::publish_seen(actions& out)
{
    if (!is_member() || has_pending<seen>())
    {
        return;
    }
    auto const& own = m_table.members().at(m_options.incarnation);
    auto const is_unknown = [&](auto const& it)
    {
        return it.second.joined > own.seen;
    };
    if (std::any_of(m_table.members().begin(), m_table.members().end(),
                    is_unknown))
    {
        append(seen{m_options.incarnation, m_table.next()}, out);
    }
}

void tenure::remove_dropped(base::instant now, actions& out)
{
    if (!is_member() || has_pending<removal>())
    {
        return;
    }
    for (auto const& [incarnation, it] : m_table.members())
    {
        auto const was_dropped = m_ever_listed.contains(it.instance) &&
                                 !m_listed.contains(it.instance);
        if (incarnation == m_options.incarnation || !was_dropped ||
            is_heard(incarnation, now, m_options.isolated_after) ||
            !is_first(incarnation, now))
        {
            continue;
        }
        append(removal{incarnation}, out);
        return;
    }
}

bool tenure::is_heard(std::string const& incarnation,
                      base::instant now,
                      base::duration within) const
{
    if (incarnation == m_options.incarnation)
    {
        return true;
    }
    auto const it = m_peers.find(incarnation);
    auto const last = it == m_peers.end() ? m_started : it->second.heard;
    return now - last <= within;
}

/// Guards against a process whose own network is cut taking every unit of the
/// cell: it hears nobody, and so waits longer than those it does not hear.
base::duration tenure::suspicion(base::instant now) const
{
    auto const others = m_table.members().size() - (is_member() ? 1 : 0);
    std::size_t heard = 0;
    for (auto const& [incarnation, it] : m_table.members())
    {
        heard += incarnation != m_options.incarnation &&
                         is_heard(incarnation, now, m_options.suspect_after)
                     ? 1
                     : 0;
    }
    auto const is_isolated = others >= 2 && heard * 2 < others;
    return is_isolated ? m_options.isolated_after : m_options.suspect_after;
}

std::vector<candidate> tenure::live(base::instant now) const
{
    auto const within = suspicion(now);
    std::vector<candidate> found;
    for (auto const& [incarnation, it] : m_table.members())
    {
        if (is_heard(incarnation, now, within))
        {
            found.push_back({incarnation, it.instance, it.zone});
        }
    }
    return found;
}

/// Who may be given a unit. Only processes on the platform's list, which is
/// what `all_listed_answered` rests on.
std::vector<candidate> tenure::takers(base::instant now) const
{
    auto found = live(now);
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

bool tenure::is_first(std::string const& what, base::instant now) const
{
    auto const order = wanted_order(what, live(now));
    return !order.empty() && order.front() == m_options.incarnation;
}

unit_counts tenure::counts() const
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

#include <cell/store_contact.hpp>

#include <algorithm>

namespace berylhill::cell
{

namespace
{

/// How long an outage is assumed to go on without another call.
constexpr base::duration outage_memory = std::chrono::seconds{1};

} // namespace

void store_contact::served(base::instant sent_at, base::instant now)
{
    m_served_at = std::max(m_served_at.value_or(sent_at), sent_at);
    // The store may have held a call from before the outage, as it does with a
    // long poll.
    if (m_outage && sent_at < m_outage->since)
    {
        return;
    }
    if (!m_served_since || (m_outage && m_outage->reads))
    {
        m_served_since = now;
    }
    m_outage.reset();
}

void store_contact::not_served(store_call of, base::instant now)
{
    auto it = m_outage.value_or(store_outage{now, now, false, false});
    it.last = now;
    (of == store_call::read ? it.reads : it.appends) = true;
    auto const grown = !m_outage || it.reads != m_outage->reads ||
                       it.appends != m_outage->appends;
    m_outage = it;
    if (grown && m_on_outage)
    {
        m_on_outage();
    }
}

base::duration store_contact::served_for(base::instant now) const
{
    return m_outage || !m_served_since ? base::duration{0}
                                       : now - *m_served_since;
}

std::optional<base::instant> store_contact::reads_served_since() const
{
    return m_outage && m_outage->reads ? std::nullopt : m_served_since;
}

bool store_contact::turned_away(base::instant now) const
{
    return m_outage && m_outage->reads && now - m_outage->last < outage_memory;
}

} // namespace berylhill::cell

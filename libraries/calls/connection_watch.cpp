#include <calls/connection_watch.hpp>

#include <algorithm>

namespace berylhill::calls
{

connection_watch::connection_watch(connection_settings const& settings,
                                   base::instant now)
    : m_settings{settings}
    , m_heard{now}
    , m_pinged{now}
{
}

void connection_watch::queued(std::string const& request_id,
                              base::instant deadline)
{
    m_requests.emplace(request_id, request{deadline, false});
}

void connection_watch::writing(std::string const& request_id)
{
    auto const it = m_requests.find(request_id);
    if (it != m_requests.end())
    {
        it->second.written = true;
    }
}

bool connection_watch::answered(std::string const& request_id,
                                base::instant now)
{
    m_heard = now;
    return m_requests.erase(request_id) == 1;
}

void connection_watch::heard(base::instant now)
{
    m_heard = now;
}

std::vector<connection_action> connection_watch::closed()
{
    std::vector<connection_action> out;
    for (auto const& [id, it] : m_requests)
    {
        out.emplace_back(request_ended{id, it.written
                                               ? attempt_end::connection_lost
                                               : attempt_end::not_sent});
    }
    m_requests.clear();
    return out;
}

std::vector<connection_action> connection_watch::expire(base::instant now)
{
    std::vector<connection_action> out;
    // A process that was stopped finds everything overdue at once: it first
    // asks, and judges by what comes then.
    auto const asked_in_time =
        m_pinged > m_heard && now - m_pinged >= m_settings.silent_after;
    if (asked_in_time)
    {
        out.emplace_back(replace_connection{});
        auto ended = closed();
        out.insert(out.end(), ended.begin(), ended.end());
        m_heard = now;
        m_pinged = now;
        return out;
    }
    for (auto it = m_requests.begin(); it != m_requests.end();)
    {
        if (it->second.deadline > now)
        {
            ++it;
            continue;
        }
        out.emplace_back(request_ended{it->first, it->second.written
                                                      ? attempt_end::timed_out
                                                      : attempt_end::not_sent});
        it = m_requests.erase(it);
    }
    if (m_pinged <= m_heard && now - m_heard >= m_settings.ping_every)
    {
        out.emplace_back(send_ping{});
        m_pinged = now;
    }
    return out;
}

} // namespace berylhill::calls

#include <cell/hold_list.hpp>

#include <algorithm>

namespace berylhill::cell
{

void hold_list::add(std::string const& id)
{
    if (m_schedules.try_emplace(id).second)
    {
        m_idle.insert(id);
    }
}

std::vector<std::string> hold_list::take_due(base::instant now,
                                             std::uint64_t stored,
                                             std::size_t max_count,
                                             standing_function const& status_of)
{
    std::vector<std::string> first;
    std::vector<std::string> out;
    for (auto it = m_idle.begin();
         it != m_idle.end() && first.size() < max_count;)
    {
        auto const is = status_of(*it);
        if (is == standing::unknown)
        {
            m_schedules.erase(*it);
            it = m_idle.erase(it);
            continue;
        }
        if (is != standing::not_callable &&
            m_schedules.at(*it).due(now, stored))
        {
            (is == standing::holds_work ? first : out).push_back(*it);
        }
        ++it;
    }
    out.insert(out.begin(), first.begin(), first.end());
    out.resize(std::min(out.size(), max_count));
    for (auto const& id : out)
    {
        m_schedules.at(id).request_sent();
        m_idle.erase(id);
    }
    return out;
}

void hold_list::reported(std::string const& id,
                         base::instant now,
                         std::uint64_t batch,
                         base::duration rest)
{
    m_schedules.at(id).reported(now, batch, rest);
    m_idle.insert(id);
}

void hold_list::failed(std::string const& id, base::instant now)
{
    m_schedules.at(id).failed(now);
    m_idle.insert(id);
}

void hold_list::wake(std::string const& id)
{
    if (auto const it = m_schedules.find(id); it != m_schedules.end())
    {
        it->second.wake();
    }
}

} // namespace berylhill::cell

#include <cell/hold_list.hpp>

#include <algorithm>

namespace berylhill::cell
{

void hold_list::add(std::string const& id)
{
    if (m_turns.try_emplace(id).second)
    {
        m_idle.insert(id);
    }
}

std::vector<std::string>
hold_list::take_due(base::instant now,
                    std::uint64_t stored,
                    std::size_t most,
                    standing_function const& standing_of)
{
    std::vector<std::string> first;
    std::vector<std::string> out;
    for (auto it = m_idle.begin(); it != m_idle.end() && first.size() < most;)
    {
        auto const is = standing_of(*it);
        if (is == standing::gone)
        {
            m_turns.erase(*it);
            it = m_idle.erase(it);
            continue;
        }
        if (is != standing::not_callable && m_turns.at(*it).due(now, stored))
        {
            (is == standing::holds_work ? first : out).push_back(*it);
        }
        ++it;
    }
    out.insert(out.begin(), first.begin(), first.end());
    out.resize(std::min(out.size(), most));
    for (auto const& id : out)
    {
        m_turns.at(id).asked();
        m_idle.erase(id);
    }
    return out;
}

void hold_list::reported(std::string const& id,
                         base::instant now,
                         std::uint64_t batch,
                         base::duration rest)
{
    m_turns.at(id).reported(now, batch, rest);
    m_idle.insert(id);
}

void hold_list::failed(std::string const& id, base::instant now)
{
    m_turns.at(id).failed(now);
    m_idle.insert(id);
}

void hold_list::wake(std::string const& id)
{
    if (auto const it = m_turns.find(id); it != m_turns.end())
    {
        it->second.wake();
    }
}

} // namespace berylhill::cell

#include <calls/side_history.hpp>

#include <iterator>

namespace berylhill::calls
{

void side_history::add_change(std::string const& contract,
                              std::int64_t offset,
                              std::string const& side)
{
    m_changes[contract].try_emplace(offset, side);
}

std::string side_history::side_of(std::string const& contract,
                                  std::int64_t accepted_at) const
{
    auto const known = m_changes.find(contract);
    if (known == m_changes.end())
    {
        return {};
    }
    auto const after = known->second.upper_bound(accepted_at);
    if (after == known->second.begin())
    {
        return {};
    }
    return std::prev(after)->second;
}

void side_history::remove_before(std::int64_t offset)
{
    for (auto& it : m_changes)
    {
        auto& changes = it.second;
        auto const after = changes.upper_bound(offset);
        if (after != changes.begin())
        {
            changes.erase(changes.begin(), std::prev(after));
        }
    }
}

} // namespace berylhill::calls

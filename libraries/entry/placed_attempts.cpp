#include <entry/placed_attempts.hpp>

namespace berylhill::entry
{

void placed_attempts::ordered(model::attempt_id const& it,
                              std::string const& group)
{
    m_places.try_emplace(it, place{group, -1});
}

void placed_attempts::answered(model::attempt_id const& it, std::int64_t epoch)
{
    auto const found = m_places.find(it);
    if (found != m_places.end())
    {
        found->second.epoch = epoch;
    }
}

bool placed_attempts::counted(model::attempt_id const& it,
                              std::string const& group,
                              std::int64_t epoch)
{
    auto const [found, added] = m_places.try_emplace(it, place{group, epoch});
    found->second.epoch = epoch;
    return !added;
}

bool placed_attempts::ended(model::attempt_id const& it)
{
    return m_places.erase(it) != 0;
}

std::vector<model::attempt_id>
placed_attempts::end_lost(std::string const& group,
                          std::int64_t epoch,
                          std::set<model::attempt_id> const& counted)
{
    std::vector<model::attempt_id> lost;
    for (auto const& [attempt, at] : m_places)
    {
        if (at.group == group && at.epoch >= 0 && at.epoch < epoch &&
            !counted.contains(attempt))
        {
            lost.push_back(attempt);
        }
    }
    for (auto const& it : lost)
    {
        m_places.erase(it);
    }
    return lost;
}

bool placed_attempts::contains(model::attempt_id const& it) const
{
    return m_places.contains(it);
}

} // namespace berylhill::entry

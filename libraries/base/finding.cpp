#include <base/finding.hpp>

#include <algorithm>
#include <numeric>

namespace berylhill::base
{

namespace
{

/// Farther names are more likely another word than a slip of the hand.
constexpr std::size_t s_farthest_slip = 3;

std::size_t edit_distance(std::string_view from, std::string_view to)
{
    std::vector<std::size_t> row(to.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 1; i <= from.size(); ++i)
    {
        auto diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= to.size(); ++j)
        {
            auto const change = diagonal + (from[i - 1] == to[j - 1] ? 0 : 1);
            diagonal = row[j];
            row[j] = std::min({row[j] + 1, row[j - 1] + 1, change});
        }
    }
    return row.back();
}

} // namespace

std::string text_of(finding const& it)
{
    std::string text = it.source;
    if (it.line != 0)
    {
        text += ":" + std::to_string(it.line);
    }
    if (!it.place.empty())
    {
        text += ": " + it.place;
    }
    return text + ": " + it.message;
}

void findings::add(findings const& other)
{
    m_items.insert(m_items.end(), other.m_items.begin(), other.m_items.end());
}

std::string findings::text() const
{
    auto sorted = m_items;
    std::sort(sorted.begin(), sorted.end());
    std::string text;
    for (auto const& it : sorted)
    {
        text += text_of(it) + "\n";
    }
    return text;
}

std::string nearest_name(std::string_view name,
                         std::vector<std::string> const& known)
{
    std::string nearest;
    auto best = s_farthest_slip + 1;
    for (auto const& it : known)
    {
        auto const distance = edit_distance(name, it);
        if (distance < best)
        {
            best = distance;
            nearest = it;
        }
    }
    return nearest;
}

} // namespace berylhill::base

#include <command/table.hpp>

#include <algorithm>
#include <cassert>
#include <utility>

namespace berylhill::command
{

namespace
{

constexpr std::size_t s_gap = 2;

} // namespace

table::table(std::vector<std::string> headings)
{
    m_rows.push_back(std::move(headings));
}

void table::add(std::vector<std::string> cells)
{
    assert(cells.size() == m_rows.front().size());
    m_rows.push_back(std::move(cells));
}

std::string table::text() const
{
    std::vector<std::size_t> widths(m_rows.front().size());
    for (auto const& row : m_rows)
    {
        for (std::size_t i = 0; i < row.size(); ++i)
        {
            widths[i] = std::max(widths[i], row[i].size());
        }
    }
    std::string out;
    for (auto const& row : m_rows)
    {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i)
        {
            line += row[i];
            line.append(widths[i] - row[i].size() + s_gap, ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        out += line + "\n";
    }
    return out;
}

} // namespace berylhill::command

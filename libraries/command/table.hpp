#pragma once

#include <string>
#include <vector>

namespace berylhill::command
{

/// Aligned columns for people.
class table
{
public:
    explicit table(std::vector<std::string> headings);

    /// Precondition: as many cells as headings.
    void add(std::vector<std::string> cells);

    /// The headings and all rows, a line each.
    [[nodiscard]] std::string text() const;

private:
    std::vector<std::vector<std::string>> m_rows;
};

} // namespace berylhill::command

#pragma once

#include <scheduler/decision_log.hpp>

#include <algorithm>
#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace berylhill::cell_test
{

/// A line of the log.
struct line
{
    std::string event;
    std::map<std::string, std::string> fields;
};

/// Keeps all lines.
class line_list final : public scheduler::decision_log
{
public:
    void write(base::log_level,
               std::string_view event,
               std::initializer_list<base::log_field> fields) override
    {
        line out{std::string{event}, {}};
        for (auto const& it : fields)
        {
            out.fields[it.key] = it.text;
        }
        lines.push_back(std::move(out));
    }

    [[nodiscard]] std::size_t count(std::string_view event) const
    {
        return static_cast<std::size_t>(
            std::ranges::count(lines, event, &line::event));
    }

    std::vector<line> lines;
};

} // namespace berylhill::cell_test

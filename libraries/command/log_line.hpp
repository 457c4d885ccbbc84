#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace berylhill::command
{

/// One `key=value` of a line of the log. A value.
struct log_member
{
    std::string key;
    std::string value;

    friend bool operator==(log_member const&, log_member const&) = default;
};

/// One line of a process's log. A value.
struct log_line
{
    /// As it is written: ISO 8601 in UTC, so that text order is time order.
    std::string time;
    std::string instance;
    std::string event;
    std::vector<log_member> members;

    friend bool operator==(log_line const&, log_line const&) = default;

    /// Empty where it has no such member.
    [[nodiscard]] std::string value_of(std::string_view key) const;
};

/// Reads a line; whatever stands before its `time=` is passed over. Nothing
/// where it is no line of our log.
[[nodiscard]] std::optional<log_line> parse_log_line(std::string_view text);

} // namespace berylhill::command

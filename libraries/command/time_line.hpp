#pragma once

#include <command/log_line.hpp>

#include <string>
#include <vector>

namespace berylhill::command
{

/// What happened to a job, from the lines of all processes: those that name
/// it, and between the first and the last of them those that say why it had to
/// wait, in order of time. Pure; thread-safe.
[[nodiscard]] std::vector<log_line> time_line_of(std::string const& job,
                                                 std::vector<log_line> lines);

/// A line for people: when, where, what it means, and its members.
[[nodiscard]] std::string text_of(log_line const& it);

/// One sentence on what the lines show of the job's end.
[[nodiscard]] std::string cause_in(std::vector<log_line> const& it);

} // namespace berylhill::command

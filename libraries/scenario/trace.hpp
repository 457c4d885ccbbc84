#pragma once

#include <base/finding.hpp>
#include <scenario/script.hpp>
#include <scenario/workload.hpp>

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace berylhill::scenario
{

/// What a contract's customers must have got in the end.
struct stated_outcome
{
    std::string contract;
    int calls_answered{0};
    /// So many of them may be calls that must run once and were told that their
    /// outcome is unknown, because the entry that held them died.
    int calls_unknown_at_most{0};
    int jobs_succeeded{0};
    /// Of calls, from the first attempt to the answer; 0 for not stated.
    double call_p99_s{0};
    /// Of tasks, from the job's acceptance to the start; 0 for not stated.
    double task_wait_p99_s{0};

    friend bool operator==(stated_outcome const&,
                           stated_outcome const&) = default;
};

/// One line of a trace; see docs/TRACES.md.
struct trace_line
{
    std::size_t line{0};
    /// Seconds from the start of the replay.
    double at_s{0};
    std::variant<call_batch, job_batch, statement, stated_outcome> what;
};

/// Reads a trace, JSON lines. Mistakes are added to `found`, all of them, with
/// their line. The lines come in the order of their times.
[[nodiscard]] std::vector<trace_line> read_trace(std::string const& source,
                                                 std::string_view text,
                                                 base::findings& found);

} // namespace berylhill::scenario

#pragma once

#include <base/time.hpp>

#include <cstdint>
#include <deque>
#include <optional>

namespace berylhill::cell
{

/// Tells how old the records of a log are at most. Records carry no time, but a
/// read shows where the log ended, and what lies beyond that offset was written
/// later. Not thread-safe.
class write_times
{
public:
    /// At `at`, the log had no record at `end` or beyond.
    void log_ended(std::uint64_t end, base::instant at);

    /// The latest known time before which the record was certainly not written;
    /// empty if there is none.
    [[nodiscard]] std::optional<base::instant>
    written_after(std::uint64_t offset) const;

private:
    struct known_end
    {
        std::uint64_t end{0};
        base::instant at{};
    };

    /// Ascending in both members.
    std::deque<known_end> m_ends;
};

} // namespace berylhill::cell

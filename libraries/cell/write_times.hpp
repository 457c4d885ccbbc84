#pragma once

#include <base/time.hpp>

#include <cstdint>
#include <deque>
#include <optional>

namespace berylhill::cell
{

/// An end of a log and how long ago the log had no record there or beyond. A
/// value.
struct log_end_age
{
    /// 0: not known.
    std::uint64_t end{0};
    base::duration age{0};

    friend bool operator==(log_end_age const&, log_end_age const&) = default;
};

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

    /// The last known end, to tell another process.
    [[nodiscard]] log_end_age last_end(base::instant now) const;

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

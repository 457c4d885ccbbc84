#pragma once

#include <base/time.hpp>

#include <json/value.h>

#include <cstdint>
#include <fstream>
#include <mutex>
#include <string>
#include <vector>

namespace berylhill::stand_ins
{

/// What the stand-ins saw, in order: JSON lines with `at_us` (CLOCK_BOOTTIME,
/// the same for all processes of a machine), `kind`, `subject` and what else
/// the kind has. Thread-safe.
class history
{
public:
    /// Keeps lines in memory, and in `file` too unless it is empty.
    explicit history(std::string const& file);

    void add(char const* kind,
             std::string const& subject,
             Json::Value details = Json::Value{Json::objectValue});

    /// The lines from number `from` on, each ended by a line feed.
    [[nodiscard]] std::string text(std::size_t from) const;

private:
    mutable std::mutex m_mutex;
    base::system_clock m_clock;
    std::ofstream m_file;
    std::vector<std::string> m_lines;
};

} // namespace berylhill::stand_ins

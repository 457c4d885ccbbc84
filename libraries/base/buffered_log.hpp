#pragma once

#include <base/log.hpp>

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace berylhill::base
{

/// What became of the lines so far. A value.
struct log_counts
{
    std::uint64_t lines{0};
    /// Left out because the reader did not keep up.
    std::uint64_t dropped{0};
    std::uint64_t bytes{0};

    friend bool operator==(log_counts const&, log_counts const&) = default;
};

/// Starts logging to standard output through a buffer in memory: `log` never
/// blocks, whatever the reader does. When the buffer is full, lines are left
/// out and counted, and a line `event=log_dropped` says how many once there
/// is room. Call once, before other threads start; then call `flush_log`
/// every few milliseconds. `most_bytes` bounds the buffer.
void start_buffered_log(std::string_view instance,
                        log_level least,
                        std::size_t most_bytes);

/// Writes what the reader takes now, and returns. Does nothing unless
/// `start_buffered_log` was called. Thread-safe.
void flush_log();

/// Of the buffered log. Thread-safe.
[[nodiscard]] log_counts buffered_log_counts();

} // namespace berylhill::base

#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace berylhill::base
{

enum class log_level : std::uint8_t
{
    debug,
    info,
    warning,
    error,
};

/// One key and its value in a line of the log.
struct log_field
{
    log_field(std::string_view name, std::string_view value);
    log_field(std::string_view name, char const* value);
    log_field(std::string_view name, double value);
    log_field(std::string_view name, std::int64_t value);
    log_field(std::string_view name, std::uint64_t value);
    log_field(std::string_view name, int value);
    log_field(std::string_view name, unsigned value);

    std::string key;
    std::string text;
};

/// Starts logging to standard error from `least` on, every line marked with
/// the instance's name. Call once, before other threads start.
void start_log(std::string_view instance, log_level least);

/// Writes one line `event=… key=value …`; values with spaces are quoted.
/// Thread-safe.
void log(log_level level,
         std::string_view event,
         std::initializer_list<log_field> fields = {});

} // namespace berylhill::base

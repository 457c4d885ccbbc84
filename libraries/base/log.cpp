#include <base/log.hpp>

#include <base/log_appender.hpp>

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <memory>

namespace berylhill::base
{

namespace
{

log4cplus::LogLevel library_level(log_level it)
{
    switch (it)
    {
    case log_level::debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case log_level::info:
        return log4cplus::INFO_LOG_LEVEL;
    case log_level::warning:
        return log4cplus::WARN_LOG_LEVEL;
    case log_level::error:
        return log4cplus::ERROR_LOG_LEVEL;
    }
    return log4cplus::ERROR_LOG_LEVEL;
}

/// A longer value is cut: clients choose paths and names, and a line for each
/// of their requests must not grow with them.
constexpr std::size_t max_value_bytes = 1'024;

std::string_view shortened(std::string_view text)
{
    return text.substr(0, max_value_bytes);
}

/// Quotes a value that would otherwise end early or run into the next line.
std::string quoted(std::string_view text)
{
    if (!text.empty() &&
        text.find_first_of(" \"=\n\r\t") == std::string_view::npos)
    {
        return std::string{text};
    }
    std::string out = "\"";
    for (char const it : text)
    {
        if (it == '\n' || it == '\r')
        {
            out += "\\n";
            continue;
        }
        if (it == '"' || it == '\\')
        {
            out += '\\';
        }
        out += it;
    }
    return out + "\"";
}

log4cplus::Logger& logger()
{
    static log4cplus::Logger s_logger =
        log4cplus::Logger::getInstance("berylhill");
    return s_logger;
}

} // namespace

log_field::log_field(std::string_view name, std::string_view value)
    : key{name}
    , text{quoted(shortened(value))}
{
}

log_field::log_field(std::string_view name, char const* value)
    : log_field{name, std::string_view{value}}
{
}

log_field::log_field(std::string_view name, double value)
    : key{name}
    , text{std::to_string(value)}
{
}

log_field::log_field(std::string_view name, std::int64_t value)
    : key{name}
    , text{std::to_string(value)}
{
}

log_field::log_field(std::string_view name, std::uint64_t value)
    : key{name}
    , text{std::to_string(value)}
{
}

log_field::log_field(std::string_view name, int value)
    : log_field{name, std::int64_t{value}}
{
}

log_field::log_field(std::string_view name, unsigned value)
    : log_field{name, std::uint64_t{value}}
{
}

void start_log(std::string_view instance, log_level least)
{
    start_log_to(log4cplus::SharedAppenderPtr{new log4cplus::ConsoleAppender{
                     true, true}},
                 instance, least);
}

void start_log_to(log4cplus::SharedAppenderPtr const& appender,
                  std::string_view instance,
                  log_level least)
{
    static log4cplus::Initializer s_library;
    auto const pattern =
        "time=%D{%Y-%m-%dT%H:%M:%S.%qZ} level=%p instance=" + quoted(instance) +
        " %m%n";
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(pattern));
    logger().addAppender(appender);
    logger().setLogLevel(library_level(least));
}

void log(log_level level,
         std::string_view event,
         std::initializer_list<log_field> fields)
{
    if (!logger().isEnabledFor(library_level(level)))
    {
        return;
    }
    auto line = "event=" + quoted(event);
    for (auto const& it : fields)
    {
        line += " " + it.key + "=" + it.text;
    }
    logger().log(library_level(level), line);
}

} // namespace berylhill::base

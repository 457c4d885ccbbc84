#pragma once

#include <base/log.hpp>

#include <log4cplus/appender.h>

#include <string_view>

namespace berylhill::base
{

/// As `start_log`, with lines that go to `appender`, which gets its layout
/// here.
void start_log_to(log4cplus::SharedAppenderPtr const& appender,
                  std::string_view instance,
                  log_level least);

} // namespace berylhill::base

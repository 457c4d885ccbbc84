#pragma once

#include <base/log.hpp>

#include <initializer_list>
#include <string_view>

namespace berylhill::scheduler
{

/// Log of the scheduler's decisions for operators.
class decision_log
{
public:
    decision_log() = default;
    decision_log(decision_log const&) = delete;
    decision_log& operator=(decision_log const&) = delete;
    virtual ~decision_log() = default;

    /// Writes one line. Never blocks.
    virtual void write(base::log_level level,
                       std::string_view event,
                       std::initializer_list<base::log_field> fields) = 0;
};

} // namespace berylhill::scheduler

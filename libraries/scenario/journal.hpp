#pragma once

#include <base/time.hpp>
#include <scenario/event.hpp>

#include <mutex>
#include <string>

namespace berylhill::scenario
{

/// What callers and the runner saw. Thread-safe.
class journal
{
public:
    void add(char const* kind,
             std::string const& subject,
             Json::Value details = Json::Value{Json::objectValue});

    [[nodiscard]] timeline events() const;

private:
    mutable std::mutex m_mutex;
    base::system_clock m_clock;
    timeline m_events;
};

} // namespace berylhill::scenario

#include <scenario/journal.hpp>

#include <utility>

namespace berylhill::scenario
{

void journal::add(char const* kind,
                  std::string const& subject,
                  Json::Value details)
{
    std::lock_guard const lock{m_mutex};
    auto const at_us = m_clock.now().time_since_epoch().count();
    m_events.push_back({at_us, kind, subject, std::move(details)});
}

timeline journal::events() const
{
    std::lock_guard const lock{m_mutex};
    return m_events;
}

} // namespace berylhill::scenario

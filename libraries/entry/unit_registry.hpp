#pragma once

#include <caf/actor.hpp>

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <utility>

namespace berylhill::entry
{

/// The actors of the units that this process owns. Thread-safe.
class unit_registry
{
public:
    void set(std::string const& unit, caf::actor it)
    {
        std::lock_guard const lock{m_mutex};
        m_actors.insert_or_assign(unit, std::move(it));
    }

    void remove(std::string const& unit)
    {
        std::lock_guard const lock{m_mutex};
        m_actors.erase(unit);
    }

    [[nodiscard]] std::optional<caf::actor> find(std::string const& unit) const
    {
        std::lock_guard const lock{m_mutex};
        auto const it = m_actors.find(unit);
        if (it == m_actors.end())
        {
            return std::nullopt;
        }
        return it->second;
    }

private:
    mutable std::mutex m_mutex;
    std::map<std::string, caf::actor> m_actors;
};

} // namespace berylhill::entry

#pragma once

#include <caf/actor.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace berylhill::entry
{

struct entry_node;

/// Starts an actor for each unit that this process has won and ends it when
/// the unit is lost. Not thread-safe; used by the ownership actor.
class unit_supervisor
{
public:
    explicit unit_supervisor(entry_node& self);

    /// Brings the actors in line with the rights of this instant.
    void reconcile();

    /// Ends all actors.
    void end_all();

private:
    struct running
    {
        std::int64_t epoch{0};
        caf::actor actor;
    };

    void begin(std::string const& unit, std::int64_t epoch);
    void end(std::string const& unit, running const& it);

    entry_node& m_node;
    std::map<std::string, running> m_running;
};

} // namespace berylhill::entry

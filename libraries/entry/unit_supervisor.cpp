#include <entry/unit_supervisor.hpp>

#include <base/log.hpp>
#include <entry/entry_node.hpp>
#include <entry/job_shard_actor.hpp>
#include <entry/messages.hpp>
#include <entry/minion_group_actor.hpp>
#include <entry/unit.hpp>
#include <entry/worker_group_actor.hpp>

#include <caf/all.hpp>

#include <set>

namespace berylhill::entry
{

namespace
{

caf::actor
spawn_for(entry_node& self, std::string const& unit, std::int64_t epoch)
{
    switch (kind_of_unit(unit).value_or(unit_kind::jobs))
    {
    case unit_kind::workers:
        return self.system.spawn<worker_group_actor>(self, unit, epoch);
    case unit_kind::minions:
        return self.system.spawn<minion_group_actor>(self, unit, epoch);
    case unit_kind::jobs:
        break;
    }
    return self.system.spawn<job_shard_actor>(self, unit, epoch);
}

} // namespace

unit_supervisor::unit_supervisor(entry_node& self)
    : m_node{self}
{
}

void unit_supervisor::reconcile()
{
    auto const now = m_node.clock.now();
    std::map<std::string, std::int64_t> acting;
    std::set<std::string> owned;
    m_node.owned.with(
        [&](ownership::participant const& it)
        {
            for (auto const& unit : it.owned_units())
            {
                owned.insert(unit);
                if (auto const epoch = it.active_epoch(unit, now))
                {
                    acting.emplace(unit, *epoch);
                }
            }
        });
    // A right that has lapsed for a moment leaves the actor alone: it asks
    // before each send, and the unit may well still be ours.
    for (auto it = m_running.begin(); it != m_running.end();)
    {
        auto const found = acting.find(it->first);
        auto const kept = found == acting.end()
                              ? owned.contains(it->first)
                              : found->second == it->second.epoch;
        if (kept)
        {
            ++it;
            continue;
        }
        end(it->first, it->second);
        it = m_running.erase(it);
    }
    for (auto const& it : acting)
    {
        if (!m_running.contains(it.first) && kind_of_unit(it.first).has_value())
        {
            begin(it.first, it.second);
        }
    }
}

void unit_supervisor::end_all()
{
    for (auto const& it : m_running)
    {
        end(it.first, it.second);
    }
    m_running.clear();
}

void unit_supervisor::begin(std::string const& unit, std::int64_t epoch)
{
    base::log(base::log_level::info, "unit_begun",
              {{"unit", unit}, {"epoch", epoch}});
    auto actor = spawn_for(m_node, unit, epoch);
    m_node.units.set(unit, actor);
    m_running[unit] = {epoch, std::move(actor)};
}

void unit_supervisor::end(std::string const& unit, running const& it)
{
    base::log(base::log_level::info, "unit_ended",
              {{"unit", unit}, {"epoch", it.epoch}});
    m_node.units.remove(unit);
    m_node.digests.remove(unit);
    caf::anon_send(it.actor, unit_lost_atom::value);
}

} // namespace berylhill::entry

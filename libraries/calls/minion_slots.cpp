#include <calls/minion_slots.hpp>

#include <algorithm>
#include <cassert>
#include <utility>

namespace berylhill::calls
{

namespace
{

/// Connections kept free on each minion for pings on a new connection.
constexpr std::int32_t s_spare_connections = 1;

} // namespace

minion_slots::minion_slots(model::endpoint it, health_settings const& settings)
    : m_endpoint{std::move(it)}
    , m_health{settings}
{
}

void minion_slots::set_endpoint(model::endpoint it)
{
    m_endpoint = std::move(it);
}

bool minion_slots::has_room(base::instant now) const
{
    auto const most =
        std::max(m_endpoint.connections - s_spare_connections, std::int32_t{1});
    return busy() < usable(now) && m_open_connections < most;
}

void minion_slots::take(std::string const& request_id, base::instant now)
{
    assert(has_room(now));
    m_holds.emplace(request_id, slot_hold{hold_kind::awaited, now, {}});
    ++m_open_connections;
}

void minion_slots::take_inherited(std::string const& request_id,
                                  base::instant now,
                                  base::instant free_at)
{
    m_holds.emplace(request_id, slot_hold{hold_kind::lingering, now, free_at});
}

void minion_slots::give_up(std::string const& request_id)
{
    auto const it = m_holds.find(request_id);
    if (it != m_holds.end() && it->second.kind == hold_kind::awaited)
    {
        it->second.kind = hold_kind::given_up;
    }
}

void minion_slots::linger(std::string const& request_id, base::instant free_at)
{
    auto const it = m_holds.find(request_id);
    if (it == m_holds.end() || it->second.kind == hold_kind::lingering)
    {
        return;
    }
    it->second.kind = hold_kind::lingering;
    it->second.free_at = free_at;
    --m_open_connections;
}

std::optional<slot_hold> minion_slots::release(std::string const& request_id)
{
    auto const it = m_holds.find(request_id);
    if (it == m_holds.end())
    {
        return std::nullopt;
    }
    auto const hold = it->second;
    m_open_connections -= hold.kind == hold_kind::lingering ? 0 : 1;
    m_holds.erase(it);
    return hold;
}

std::vector<std::string> minion_slots::expire(base::instant now)
{
    std::vector<std::string> ended;
    for (auto const& [id, hold] : m_holds)
    {
        if (hold.kind == hold_kind::lingering && hold.free_at <= now)
        {
            ended.push_back(id);
        }
    }
    for (auto const& it : ended)
    {
        m_holds.erase(it);
    }
    return ended;
}

std::int32_t minion_slots::count_running_longer(base::duration span,
                                                base::instant now) const
{
    return static_cast<std::int32_t>(
        std::count_if(m_holds.begin(), m_holds.end(),
                      [&](auto const& it)
                      {
                          return it.second.kind != hold_kind::lingering &&
                                 now - it.second.sent_at > span;
                      }));
}

std::int32_t minion_slots::usable(base::instant now) const
{
    return leaving() ? 0 : m_health.usable(m_endpoint.slots, now);
}

} // namespace berylhill::calls

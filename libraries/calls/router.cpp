#include <calls/router.hpp>

#include <algorithm>

namespace berylhill::calls
{

namespace
{

/// Most calls end within this multiple of the smoothed running time.
constexpr double s_hedge_after_runs = 3;
/// Expected wait assumed for a group without usable slots, in seconds.
constexpr double s_no_slots_s = 60;
/// Calls per slot, running ones included, up to which a queue is short.
constexpr std::int32_t s_short_queue_per_slot = 2;
/// Added to the expected wait of a group that refused a call since its last
/// digest, in seconds.
constexpr double s_full_s = 0.5;

} // namespace

router::router(router_settings const& settings, generator random)
    : m_settings{settings}
    , m_random{random}
{
}

void router::update_group(group_digest const& it, base::instant now)
{
    auto const old = m_service_of.find(it.group);
    if (old != m_service_of.end() && old->second != it.service)
    {
        remove_group(it.group);
    }
    m_service_of[it.group] = it.service;
    auto& known = m_services[it.service][it.group];
    auto const& last = known.digest;
    auto const newer = it.epoch != last.epoch ? it.epoch > last.epoch
                                              : it.sequence > last.sequence;
    if (!last.group.empty() && !newer)
    {
        return;
    }
    known.digest = it;
    known.updated_at = now;
    known.sent_since = 0;
    known.full = false;
}

void router::remove_group(std::string const& group)
{
    auto const service = m_service_of.find(group);
    if (service == m_service_of.end())
    {
        return;
    }
    m_services[service->second].erase(group);
    m_service_of.erase(service);
}

std::optional<route> router::choose(std::string const& service,
                                    std::vector<std::string> const& tried,
                                    required_capacity room,
                                    base::instant now)
{
    return pick_of_two(candidates(service, tried, room, now), now);
}

bool router::has_candidate(std::string const& service,
                           std::vector<std::string> const& tried,
                           required_capacity room,
                           base::instant now)
{
    return !candidates(service, tried, room, now).empty();
}

void router::mark_full(std::string const& group)
{
    auto const service = m_service_of.find(group);
    if (service != m_service_of.end())
    {
        m_services[service->second][group].full = true;
    }
}

std::optional<base::instant> router::hedge_at(std::string const& group,
                                              call const& it,
                                              base::instant now) const
{
    auto const service = m_service_of.find(group);
    if (service == m_service_of.end())
    {
        return std::nullopt;
    }
    auto const& digest = m_services.at(service->second).at(group).digest;
    auto const run = base::seconds_of(digest.run_time);
    auto const at = now + digest.expected_wait +
                    base::from_seconds(run * s_hedge_after_runs);
    if (at + digest.run_time > it.deadline)
    {
        return std::nullopt;
    }
    return at;
}

bool router::knows_service(std::string const& service) const
{
    auto const it = m_services.find(service);
    return it != m_services.end() && !it->second.empty();
}

void router::expire(base::instant now)
{
    for (auto& [service, groups] : m_services)
    {
        std::erase_if(groups,
                      [&](auto const& it)
                      {
                          auto const old = now - it.second.updated_at >
                                           m_settings.remove_after;
                          if (old)
                          {
                              m_service_of.erase(it.first);
                          }
                          return old;
                      });
    }
}

router::group_list router::candidates(std::string const& service,
                                      std::vector<std::string> const& tried,
                                      required_capacity room,
                                      base::instant now)
{
    group_list fresh;
    group_list old;
    auto const found = m_services.find(service);
    if (found == m_services.end())
    {
        return fresh;
    }
    for (auto& [group, it] : found->second)
    {
        auto const was_tried =
            std::find(tried.begin(), tried.end(), group) != tried.end();
        if (was_tried || !has_capacity(it, room, now))
        {
            continue;
        }
        auto const is_old = now - it.updated_at > m_settings.stale_after;
        (is_old ? old : fresh).push_back(&it);
    }
    return fresh.empty() ? old : fresh;
}

bool router::has_capacity(known_group const& it,
                          required_capacity room,
                          base::instant now) const
{
    if (room == required_capacity::any)
    {
        return true;
    }
    if (it.full || now - it.updated_at > m_settings.stale_after)
    {
        return false;
    }
    auto const& digest = it.digest;
    auto const used = digest.busy + digest.queued + it.sent_since;
    auto const most = room == required_capacity::idle
                          ? digest.slots
                          : digest.slots * s_short_queue_per_slot;
    return used < most;
}

std::optional<route> router::pick_of_two(group_list const& among,
                                         base::instant now)
{
    if (among.empty())
    {
        return std::nullopt;
    }
    auto const n = static_cast<double>(among.size());
    auto const first = static_cast<std::size_t>(uniform(m_random, 0, n));
    auto* best = among[first];
    if (among.size() > 1)
    {
        auto second = static_cast<std::size_t>(uniform(m_random, 0, n - 1));
        second += second >= first ? 1 : 0;
        auto* other = among[second];
        if (expected_wait_s(*other, now) < expected_wait_s(*best, now))
        {
            best = other;
        }
    }
    ++best->sent_since;
    return route{best->digest.group, best->digest.owner, best->digest.epoch};
}

double router::expected_wait_s(known_group const& it, base::instant now) const
{
    auto const& digest = it.digest;
    if (digest.slots <= 0)
    {
        return s_no_slots_s;
    }
    auto const run = base::seconds_of(digest.run_time);
    auto const load =
        static_cast<double>(digest.busy + digest.queued + it.sent_since) /
        static_cast<double>(digest.slots);
    auto const age = std::max(base::seconds_of(now - it.updated_at) -
                                  base::seconds_of(m_settings.fresh_for),
                              0.0);
    // The older a digest, the less reliable it is.
    auto const full = it.full ? s_full_s : 0;
    return load * run + base::seconds_of(digest.expected_wait) + age + full;
}

} // namespace berylhill::calls

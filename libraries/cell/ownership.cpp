#include <cell/ownership.hpp>

#include <base/log.hpp>

#include <utility>

namespace berylhill::cell
{

namespace
{

/// How often standbys read the cell's log. They need its records only when they
/// claim, and then read what is missing.
constexpr follow_options standby_follow_options{
    std::chrono::milliseconds{0}, std::chrono::milliseconds{500},
    std::chrono::milliseconds{400}, std::chrono::milliseconds{250}};

/// Pause after a lookup without an answer.
constexpr base::duration find_retry = std::chrono::milliseconds{150};

} // namespace

char const* name_of(ownership_state it)
{
    switch (it)
    {
    case ownership_state::starting:
        return "starting";
    case ownership_state::watching:
        return "watching";
    case ownership_state::suspecting:
        return "suspecting";
    case ownership_state::claiming:
        return "claiming";
    case ownership_state::restoring:
        return "restoring";
    case ownership_state::owning:
        return "owning";
    }
    return "other";
}

ownership::ownership(boost::asio::io_context& loop,
                     base::clock const& clock,
                     keyed_log& cell,
                     peer_client& peers,
                     store_latency& latency,
                     store_contact const& store,
                     peer self,
                     std::string incarnation,
                     listener& told)
    : m_loop{loop}
    , m_clock{clock}
    , m_peer_client{peers}
    , m_store{store}
    , m_self{std::move(self)}
    , m_incarnation{std::move(incarnation)}
    , m_listener{told}
    , m_lookup{cell}
    , m_follower{loop, clock, cell, "cell", standby_follow_options}
    , m_append{loop, clock, cell, latency}
    , m_timer{loop}
{
    m_follower.on_change(
        [this](auto const& key, auto const& value, auto)
        {
            m_replica.set(key, value);
            if (key == owner_key && !value.empty())
            {
                adopt(m_replica.owner());
            }
        });
}

ownership::~ownership()
{
    ++*m_generation;
}

void ownership::start()
{
    m_ownerless_since = m_clock.now();
    find_owner();
}

/// Looks up the owner. A process that follows the log keeps following it. If
/// the store turns this process away, the owner that it knew, or the other
/// processes, tell who owns the work.
void ownership::find_owner()
{
    ++*m_generation;
    not_heard();
    m_state = ownership_state::starting;
    m_lookup.find(
        [this, mine = *m_generation](std::optional<found_claim> const& it)
        {
            if (*m_generation != mine)
            {
                return;
            }
            if (!it)
            {
                run_after(find_retry,
                          [this]
                          {
                              if (m_owner.token == 0)
                              {
                                  find_owner();
                                  return;
                              }
                              probe_owner_again();
                          });
                return;
            }
            owner_found(it->owner);
        });
}

void ownership::owner_found(owner_view const& it)
{
    adopt(it);
    if (m_owner.token == 0)
    {
        claim("no_owner");
        return;
    }
    ++*m_generation;
    m_state = ownership_state::watching;
    m_failures = 0;
    watch(base::duration{0});
}

void ownership::adopt(owner_view const& it)
{
    if (it.token <= m_owner.token)
    {
        return;
    }
    auto const was_restoring = m_state == ownership_state::restoring;
    m_owner = it;
    m_failures = 0;
    m_rounds_alone = 0;
    m_released = false;
    m_overloaded_owners = 0;
    m_replaced_owners = 0;
    m_stamp = 0;
    m_served_after = 0;
    base::log(base::log_level::info, "owner_seen",
              {{"owner", it.instance},
               {"token", it.token},
               {"state", name_of(m_state)},
               {"ownerless_s", base::seconds_of(ownerless_for())}});
    not_heard();
    // An owner that is found at the start may have died long ago.
    m_owner_taking_over = m_state != ownership_state::starting;
    if (m_state == ownership_state::owning ||
        m_state == ownership_state::starting)
    {
        return;
    }
    ++*m_generation;
    m_state = ownership_state::watching;
    watch(base::duration{0});
    if (was_restoring)
    {
        m_listener.ended();
    }
}

/// The owner has not answered, or a new one has to be reached.
void ownership::not_heard()
{
    if (owner_heard())
    {
        m_ownerless_since = m_clock.now();
    }
    m_heard = false;
}

/// Returns for how long this process has not heard from an owner.
base::duration ownership::ownerless_for() const
{
    return owner_heard() ? base::duration{0}
                         : m_clock.now() - m_ownerless_since;
}

void ownership::on_owner_reported(owner_view const& it)
{
    if (it.token <= m_owner.token)
    {
        return;
    }
    if (m_state == ownership_state::owning)
    {
        lose_ownership("announced");
    }
    if (m_state == ownership_state::starting)
    {
        // The lookup that is under way may have no answer for long.
        owner_found(it);
        return;
    }
    adopt(it);
}

void ownership::lose_ownership(char const* why)
{
    if (m_state != ownership_state::owning)
    {
        return;
    }
    base::log(base::log_level::warning, "right_lost",
              {{"token", m_owner.token}, {"why", why}});
    find_owner();
    m_listener.ended();
}

void ownership::yield(base::duration rest)
{
    m_released = true;
    m_rests_until = m_clock.now() + rest;
    not_heard();
    claim("yielded");
}

void ownership::leave()
{
    m_leaving = true;
    auto const was_restoring = m_state == ownership_state::restoring;
    if (m_state != ownership_state::owning &&
        m_state != ownership_state::claiming && !was_restoring)
    {
        return;
    }
    find_owner();
    if (was_restoring)
    {
        m_listener.ended();
    }
}

void ownership::run_after(base::duration pause, std::function<void()> task)
{
    m_timer.expires_after(pause);
    m_timer.async_wait(
        [alive = m_generation, mine = *m_generation,
         task = std::move(task)](auto ec)
        {
            if (!ec && *alive == mine)
            {
                task();
            }
        });
}

} // namespace berylhill::cell

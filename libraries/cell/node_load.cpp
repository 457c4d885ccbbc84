#include <cell/node.hpp>

#include <base/log.hpp>
#include <base/processor_time.hpp>

#include <boost/asio/post.hpp>

namespace berylhill::cell
{

namespace
{

/// Interval of the check whether to hand over ownership.
constexpr auto load_pause = std::chrono::milliseconds{250};

/// Interval of the log line about accepted work.
constexpr base::duration work_report_pause = std::chrono::seconds{10};

/// A process that handed over ownership does not claim it for this long;
/// otherwise the work could return to an instance that cannot handle it.
constexpr base::duration yield_rest = std::chrono::seconds{5};

} // namespace

/// Tells the log which limits were met, and what the accepted work takes.
void node::watch_limits()
{
    auto const now = m_clock.now();
    for (auto& it : m_limit_logs)
    {
        it.look(now);
    }
    if (!m_owner || now < m_next_work_report)
    {
        return;
    }
    m_next_work_report = now + work_report_pause;
    auto const& decisions = m_owner->decisions();
    auto const room = decisions.room();
    base::log(base::log_level::info, "work_held",
              {{"token", m_owner->token()},
               {"bytes", std::uint64_t{room.used()}},
               {"max_bytes", std::uint64_t{room.max_bytes()}},
               {"jobs", std::uint64_t{decisions.jobs().all().size()}},
               {"refused", decisions.counts().refused_for_room}});
}

void node::watch_load()
{
    m_processor.measured(m_clock.now(), base::processor_time());
    watch_limits();
    if (m_owner && !m_stopping && !m_yielding)
    {
        auto const load =
            owner_load{m_settings.limits.millicores(),
                       m_clock.now() - m_owns_since,
                       m_lag.average(),
                       possible_owners(),
                       m_owner->decisions().instances().all().size(),
                       m_overloaded_owners};
        m_taking_over = is_taking_over(load);
        if (handles_load(load))
        {
            m_overloaded_owners = 0;
        }
        if (auto const why = should_yield(load); why != yield_reason::none)
        {
            yield(why);
        }
    }
    m_load_timer.expires_after(load_pause);
    m_load_timer.async_wait([this](auto) { watch_load(); });
}

/// The processes that watch this one and that the store serves.
std::vector<peer> node::possible_owners() const
{
    auto out = m_peer_service.watchers();
    std::erase_if(out, [this](auto const& it)
                  { return m_handover.turned_away(it); });
    return out;
}

/// Hands ownership to another process, as in a planned stop.
void node::yield(yield_reason why)
{
    m_yielding = true;
    m_overloaded_owners =
        why == yield_reason::overloaded ? m_overloaded_owners + 1 : 0;
    auto const& decisions = m_owner->decisions();
    base::log(base::log_level::info, "owner_yields",
              {{"why", name_of(why)},
               {"token", m_owner->token()},
               {"lag_s", base::seconds_of(m_lag.average())},
               {"cores", m_settings.limits.cores},
               {"cores_used", m_processor.cores()},
               {"owned_s", base::seconds_of(m_clock.now() - m_owns_since)},
               {"overloaded_owners", m_overloaded_owners},
               {"instances", std::uint64_t{decisions.instances().all().size()}},
               {"reachable", std::uint64_t{decisions.reachable_instances()}}});
    m_owner->release(release_limit,
                     [this]
                     {
                         boost::asio::post(m_loop,
                                           [this]
                                           {
                                               if (m_owner)
                                               {
                                                   m_ownership.yield(
                                                       yield_rest);
                                                   ended();
                                               }
                                           });
                     });
}

} // namespace berylhill::cell

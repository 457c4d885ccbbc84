#include <cell/node.hpp>

#include <base/buffered_log.hpp>
#include <base/log.hpp>
#include <cell/node_limits.hpp>
#include <cell/observed_log.hpp>
#include <cell/peer_paths.hpp>
#include <settings/cell_schema.hpp>

#include <boost/asio/post.hpp>

#include <algorithm>
#include <random>
#include <utility>

namespace berylhill::cell
{

namespace
{

/// Interval between flushes of the log.
constexpr auto log_pause = std::chrono::milliseconds{20};

/// How long after SIGTERM calls may still arrive: the platform removes an
/// instance after two failed probes, a second apart.
constexpr base::duration out_of_rotation = std::chrono::milliseconds{2'500};

/// The process exits this long before it would be killed.
constexpr base::duration stop_margin = std::chrono::milliseconds{800};

/// Interval of the check whether all callers have been answered.
constexpr auto drain_pause = std::chrono::milliseconds{50};

/// A lease is this much shorter than the longest one that instances grant.
constexpr base::duration lease_margin = std::chrono::milliseconds{500};

/// From a heartbeat until the store has its entry, and from a decision until
/// its order arrives.
constexpr base::duration entry_margin = std::chrono::milliseconds{500};

/// A new configuration must be in force within seconds, even if a connection to
/// the store goes silent.
constexpr follow_options operators_follow_options{
    std::chrono::milliseconds{700}, std::chrono::milliseconds{20},
    std::chrono::milliseconds{350}, std::chrono::milliseconds{120}};

/// Another process sends a call again that was refused as busy.
std::optional<network::http_response> peer_refusal(network::refused_request why)
{
    return why == network::refused_request::busy
               ? network::http_response{peer_paths::status_busy, {}, {}}
               : network::plain_refusal(why);
}

/// Copies of the configuration use at most one part in this many of the link,
/// so that hundreds of processes that fetch at once do not delay calls.
constexpr double copy_share = 4;

/// Largest burst of configuration copies, in bytes.
constexpr std::int64_t copies_at_once = std::int64_t{64} * 1024;

token_bucket budget_of_copies(double link_mbps)
{
    constexpr double bytes_per_megabit = 125'000;
    return token_bucket{
        static_cast<std::int64_t>(link_mbps * bytes_per_megabit / copy_share),
        copies_at_once};
}

/// Makes every call to the store show whether the store serves this process.
adapter observed(adapter it, base::clock const& clock, store_contact& contact)
{
    for (auto* const log : {&it.cell_log, &it.operator_log, &it.instance_log})
    {
        *log = std::make_unique<observed_log>(std::move(*log), clock, contact);
    }
    return it;
}

std::string new_incarnation()
{
    std::random_device source;
    return std::to_string(source()) + std::to_string(source());
}

append_limits append_limits_of(settings::cell_platform_settings const& it)
{
    return {static_cast<std::size_t>(it.record_bytes),
            static_cast<std::size_t>(it.append_bytes)};
}

} // namespace

class node::decisions_to_log final : public scheduler::decision_log
{
public:
    void write(base::log_level level,
               std::string_view event,
               std::initializer_list<base::log_field> fields) override
    {
        base::log(level, event, fields);
    }
};

node::node(settings::cell_settings settings,
           std::string settings_path,
           adapter_maker const& make)
    : m_settings{std::move(settings)}
    , m_settings_path{std::move(settings_path)}
    , m_client{m_loop, {}}
    , m_order_client{m_loop, order_limits(m_settings.limits)}
    , m_adapter{observed(
          make(m_client, m_order_client, m_settings), m_clock, m_store)}
    , m_log{std::make_unique<decisions_to_log>()}
    , m_answers{m_clock, *m_log}
    , m_peers{m_client}
    , m_ownership{m_loop,  m_clock, *m_adapter.cell_log, m_peers, m_latency,
                  m_store, self(),  new_incarnation(),   *this}
    , m_peer_service{m_loop, m_clock, *this}
    , m_handover{m_loop, m_clock, *m_adapter.cell_log, m_store, *this}
    , m_advice{m_clock, *m_adapter.advice, m_peers,
               [this]
               {
                   return others();
               }}
    , m_router{m_loop, m_clock, m_peers, m_ownership,
               [this](job_call const& it, job_answer_handler const& done)
               {
                   if (!m_owner)
                   {
                       return false;
                   }
                   call_owner(it, done);
                   return true;
               }}
    , m_operators{m_loop, m_clock, *m_adapter.operator_log, "operators",
                  operators_follow_options}
    , m_callers{m_loop,
                [this](auto it, auto answer)
                { take_job_call(it, std::move(answer)); },
                m_connection_memory}
    , m_readiness{m_loop,
                  [this](auto const&, auto answer) { take_readiness(answer); },
                  m_connection_memory}
    , m_peer_server{m_loop,
                    [this](auto it, auto answer)
                    { m_peer_service.handle(it, std::move(answer)); },
                    m_connection_memory}
    , m_metrics_server{m_loop,
                       [this](auto const&, auto answer)
                       { take_metrics(answer); },
                       m_connection_memory}
    , m_signals{m_loop, SIGTERM, SIGINT, SIGHUP}
    , m_stop_timer{m_loop}
    , m_log_timer{m_loop}
    , m_load_timer{m_loop}
    , m_configuration_timer{m_loop}
    , m_lag{m_loop, m_clock}
    , m_copy_budget{budget_of_copies(m_settings.limits.link_mbps)}
{
    m_peer_server.set_refusals(peer_refusal);
    m_operators.on_change([this](auto const& key, auto const& value, auto)
                          { configuration_changed(key, value, "store"); });
    m_operators.on_end_reached([this](base::instant as_of)
                               { m_propagation.on_store_read(as_of); });
}

node::~node() = default;

base::result<void> node::listen()
{
    BOOST_LEAF_CHECK(m_peer_server.listen(
        network::address_or_empty(m_settings.listen.peer)));
    BOOST_LEAF_CHECK(m_readiness.listen(
        network::address_or_empty(m_settings.listen.readiness)));
    BOOST_LEAF_CHECK(m_metrics_server.listen(
        network::address_or_empty(m_settings.listen.metrics)));
    BOOST_LEAF_CHECK(
        m_callers.listen(network::address_or_empty(m_settings.listen.callers)));
    return {};
}

base::result<void> node::run()
{
    BOOST_LEAF_CHECK(listen());
    base::log(base::log_level::info, "process_started",
              {{"zone", m_settings.zone},
               {"callers", m_settings.listen.callers},
               {"peer", m_settings.listen.peer},
               {"store", m_settings.platform.store}});
    apply_limits();
    await_signals();
    flush_logs();
    watch_load();
    read_configuration_later();
    m_ownership.start();
    m_loop.run();
    base::log(base::log_level::info, "process_stopped", {});
    base::flush_log();
    return {};
}

peer node::self() const
{
    auto const& listen = m_settings.listen;
    auto const& reached_at =
        listen.peer_advertised.empty() ? listen.peer : listen.peer_advertised;
    return {m_settings.instance, network::address_or_empty(reached_at),
            m_settings.limits.millicores()};
}

scheduler::policy node::policy() const
{
    scheduler::policy out;
    auto const longest =
        std::chrono::milliseconds{m_settings.bounds.longest_lease_ms};
    out.lease = std::min<base::duration>(out.lease, longest - lease_margin);
    out.longest_lease = longest;
    out.max_entry_age =
        std::chrono::milliseconds{m_settings.bounds.contact_ms +
                                  m_settings.bounds.heartbeat_ms} -
        entry_margin;
    out.max_record_bytes =
        static_cast<std::size_t>(m_settings.platform.record_bytes);
    out.max_work_bytes =
        static_cast<std::size_t>(m_settings.limits.work_bytes());
    out.status_kept = base::from_seconds(m_settings.bounds.status_kept_s) +
                      std::chrono::seconds{5};
    return out;
}

void node::began(std::map<std::string, std::string> const& records,
                 won_claim const& claim)
{
    m_owns_since = m_clock.now();
    m_yielding = false;
    m_taking_over = true;
    m_overloaded_owners = m_ownership.overloaded_owners();
    auto const parts = owner_parts{&m_loop,
                                   &m_clock,
                                   m_adapter.cell_log.get(),
                                   m_adapter.instance_log.get(),
                                   m_adapter.orders.get(),
                                   &m_advice,
                                   m_adapter.decoder.get(),
                                   m_log.get(),
                                   &m_latency,
                                   append_limits_of(m_settings.platform)};
    m_owner = std::make_unique<cell_owner>(
        parts, policy(), m_configuration, records, claim, m_list_times,
        [this](char const* why) { m_ownership.lose_ownership(why); });
    m_peer_service.wake();
}

/// The owner answered after the request was sent, so its knowledge is at most
/// that much older than it says.
void node::on_list_end_reported(log_end_age const& it, base::instant asked_at)
{
    if (it.end != 0)
    {
        m_list_times.log_ended(it.end, asked_at - it.age);
    }
}

void node::ended()
{
    if (m_owner)
    {
        m_list_times = m_owner->list_times();
    }
    m_owner.reset();
    m_handover.ended();
    m_peer_service.wake();
}

void node::apply_limits()
{
    auto const& machine = m_settings.limits;
    auto const& asked = m_configuration.limits;
    m_connection_memory->set_limit(connection_bytes(machine));
    m_callers.set_limits(caller_limits(machine, asked));
    m_peer_server.set_limits(peer_limits(machine, asked));
    m_readiness.set_limits(probe_limits());
    m_metrics_server.set_limits(probe_limits());
}

void node::await_signals()
{
    m_signals.async_wait(
        [this](auto ec, int signal)
        {
            if (ec)
            {
                return;
            }
            if (signal == SIGHUP)
            {
                reload();
            }
            else
            {
                stop();
            }
            await_signals();
        });
}

void node::reload()
{
    base::findings found;
    auto const read = settings::load_cell_settings(m_settings_path, found);
    if (!found.empty())
    {
        base::log(base::log_level::error, "settings_refused",
                  {{"findings", found.text()}});
        return;
    }
    m_settings.bounds = read.bounds;
    m_settings.limits = read.limits;
    m_copy_budget = budget_of_copies(m_settings.limits.link_mbps);
    apply_limits();
    base::log(base::log_level::info, "settings_reloaded", {});
}

/// Releases ownership first, so that a successor can claim at once; then serves
/// callers until the platform stops sending calls.
void node::stop()
{
    if (std::exchange(m_stopping, true))
    {
        return;
    }
    base::log(base::log_level::info, "process_stopping",
              {{"owner", m_owner ? 1 : 0}});
    m_stop_at = m_clock.now() +
                std::min(out_of_rotation,
                         base::from_seconds(m_settings.bounds.stop_grace_s) -
                             stop_margin);
    if (m_owner)
    {
        m_owner->release(release_limit,
                         [this]
                         {
                             boost::asio::post(m_loop,
                                               [this]
                                               {
                                                   m_ownership.leave();
                                                   ended();
                                               });
                         });
    }
    else
    {
        m_ownership.leave();
    }
    drain();
}

void node::drain()
{
    auto const now = m_clock.now();
    auto const by_force = m_stop_at + stop_margin;
    if (now >= m_stop_at)
    {
        m_callers.set_closing();
        if (m_callers.unanswered() == 0 || now >= by_force)
        {
            m_loop.stop();
            return;
        }
    }
    m_stop_timer.expires_after(drain_pause);
    m_stop_timer.async_wait([this](auto) { drain(); });
}

void node::flush_logs()
{
    base::flush_log();
    m_log_timer.expires_after(log_pause);
    m_log_timer.async_wait([this](auto) { flush_logs(); });
}

} // namespace berylhill::cell

#include <cell/node.hpp>

#include <base/log.hpp>
#include <cell/compressed_text.hpp>
#include <cell/peer_messages.hpp>

namespace berylhill::cell
{

namespace
{

/// A copy that makes no progress for this long is on a silent connection.
constexpr base::duration copy_stall = std::chrono::seconds{1};

/// Timeout of the question that confirms a copy.
constexpr base::duration confirmation_timeout = std::chrono::milliseconds{500};

/// A process that has just started gets the configuration from the owner, if
/// it finds one within this time; otherwise it reads the store itself. Spread
/// over an interval, for cells whose processes all start at once.
constexpr base::duration min_read_delay = std::chrono::milliseconds{500};
constexpr base::duration read_delay_spread = std::chrono::milliseconds{2'000};

base::duration read_delay(std::string const& instance)
{
    constexpr std::size_t parts = 64;
    auto const part = std::hash<std::string>{}(instance) % parts;
    return min_read_delay + read_delay_spread *
                                static_cast<std::int64_t>(part) /
                                static_cast<std::int64_t>(parts);
}

fetch_outcome end_of(peer_result<configuration_record> const& it)
{
    if (it.answer)
    {
        return fetch_outcome::received;
    }
    return it.end == network::call_end::not_sent ? fetch_outcome::rejected
                                                 : fetch_outcome::failed;
}

} // namespace

/// If hundreds of processes that start at once read a large configuration from
/// the store, the records of the jobs, which the new owner needs first, share
/// the store's bandwidth with as many copies of it.
void node::read_configuration_later()
{
    m_configuration_timer.expires_after(read_delay(m_settings.instance));
    m_configuration_timer.async_wait(
        [this](auto ec)
        {
            if (!ec)
            {
                read_configuration();
            }
        });
}

void node::read_configuration()
{
    m_configuration_timer.cancel();
    if (!m_operators.running())
    {
        m_operators.start();
    }
}

/// The other processes get the configuration from the owner.
void node::claimed()
{
    m_owns_since = m_clock.now();
    m_handover.claimed();
    read_configuration();
}

void node::configuration_changed(std::string const& key,
                                 std::string const& value,
                                 char const* source)
{
    if (value.empty())
    {
        return;
    }
    auto const begun = m_clock.now();
    auto const read = base::capture(
        [&] { return m_adapter.decoder->configuration(key, value); });
    if (!read)
    {
        base::log(base::log_level::error, "configuration_unreadable",
                  {{"key", key}, {"error", read.error().message}});
        return;
    }
    if (!read.value() || read.value()->version <= m_configuration.version)
    {
        // Records may be read repeatedly; an older version must not replace a
        // newer one.
        return;
    }
    auto const is_first = m_configuration.version == 0;
    m_configuration = *read.value();
    m_configuration_record = {key, value, 0};
    m_compressed_configuration.clear();
    report_unclear_accounts();
    base::log(
        base::log_level::info, "configuration_in_force",
        {{"version", m_configuration.version},
         {"queues", std::uint64_t{m_configuration.queues.size()}},
         {"source", source},
         {"bytes", std::uint64_t{value.size()}},
         {"decoded_s", base::seconds_of(m_clock.now() - begun)},
         {"behind_s", base::seconds_of(m_propagation.behind(m_clock.now()))}});
    m_propagation.on_version_installed(m_configuration.version);
    apply_limits();
    if (m_owner)
    {
        m_owner->set_configuration(m_configuration);
    }
    if (is_first && owns())
    {
        m_peer_service.wake();
    }
}

void node::report_unclear_accounts() const
{
    if (!m_configuration.accounts)
    {
        return;
    }
    auto const found = workload::check(*m_configuration.accounts);
    if (!found.empty())
    {
        base::log(
            base::log_level::warning, "accounts_unclear",
            {{"version", m_configuration.version}, {"findings", found.text()}});
    }
}

configuration_age node::configuration_here() const
{
    return {m_configuration.version, m_propagation.age(m_clock.now())};
}

configuration_record node::configuration() const
{
    auto out = m_configuration_record;
    out.next = m_operators.next_offset();
    return out;
}

std::optional<std::string> node::compressed_configuration()
{
    if (m_compressed_configuration.empty())
    {
        m_compressed_configuration = compressed(text_of(configuration()));
    }
    if (!m_copy_budget.try_take(m_compressed_configuration.size(),
                                m_clock.now()))
    {
        return std::nullopt;
    }
    return m_compressed_configuration;
}

void node::on_configuration_reported(configuration_age const& it,
                                     base::instant asked_at,
                                     network::socket_address const& from)
{
    auto const known = m_propagation.newest();
    auto const fetches = m_propagation.on_version_heard(
        it, asked_at, m_configuration.version, m_clock.now());
    note_newest(known, from);
    if (fetches)
    {
        fetch_configuration(from);
    }
}

void node::on_version_reported(std::int64_t version,
                               network::socket_address const& from)
{
    auto const known = m_propagation.newest();
    auto const fetches = m_propagation.on_version_heard(
        version, m_configuration.version, m_clock.now());
    note_newest(known, from);
    if (fetches)
    {
        fetch_configuration(from);
    }
}

/// Logs that another process has reported a newer version than was known.
void node::note_newest(std::int64_t known, network::socket_address const& from)
{
    if (m_propagation.newest() == known)
    {
        return;
    }
    base::log(base::log_level::info, "configuration_behind",
              {{"version", m_configuration.version},
               {"newest", m_propagation.newest()},
               {"peer", text_of(from)},
               {"age_s", base::seconds_of(m_propagation.age(m_clock.now()))}});
}

void node::fetch_configuration(network::socket_address const& from)
{
    m_peers.configuration(
        from, {m_propagation.fetch_timeout(), copy_stall},
        [this, from](peer_result<configuration_record> const& it)
        {
            auto const end = end_of(it);
            m_propagation.on_fetch_ended(end);
            if (end != fetch_outcome::received)
            {
                base::log(
                    base::log_level::info, "configuration_unfetched",
                    {{"peer", text_of(from)},
                     {"turned_away", end == fetch_outcome::rejected ? 1 : 0},
                     {"received", it.received}});
                return;
            }
            configuration_changed(it.answer->key, it.answer->value, "peer");
            follow_configuration_from(it.answer->next);
            confirm_configuration(from);
        });
}

/// Follows the store from the offset after a copy. A reading of the newest
/// records that has not ended is given up.
void node::follow_configuration_from(std::uint64_t next)
{
    m_configuration_timer.cancel();
    if (m_operators.ready())
    {
        m_operators.skip_to(next);
        return;
    }
    m_operators.start_at(next);
}

/// Asks the process that sent the configuration how long ago its version was
/// the newest. This process may have no other way to know: an owner asks the
/// others nothing, and the read of the store that was under way is given up.
void node::confirm_configuration(network::socket_address const& from)
{
    m_peers.watch(from, {self(), 0, configuration_here(), {}},
                  base::duration{0}, confirmation_timeout,
                  [this, from, asked_at = m_clock.now()](
                      peer_result<watch_answer> const& it)
                  {
                      if (it.answer)
                      {
                          on_configuration_reported(it.answer->configuration,
                                                    asked_at, from);
                      }
                  });
}

} // namespace berylhill::cell

#include <cell/node.hpp>

#include <base/log.hpp>

namespace berylhill::cell
{

namespace
{

/// Until a question for another process's configuration is given up.
constexpr base::duration fetch_timeout = std::chrono::milliseconds{600};

} // namespace

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
        [&] { return m_adapter.reader->configuration(key, value); });
    if (!read)
    {
        base::log(base::log_level::error, "configuration_unreadable",
                  {{"key", key}, {"error", read.error().message}});
        return;
    }
    if (!read.value() || read.value()->version <= m_configuration.version)
    {
        // Records may be read again; an older version never comes back.
        return;
    }
    m_configuration = *read.value();
    m_configuration_record = {key, value};
    report_unclear_accounts();
    base::log(base::log_level::info, "configuration_in_force",
              {{"version", m_configuration.version},
               {"queues", std::uint64_t{m_configuration.queues.size()}},
               {"source", source},
               {"bytes", std::uint64_t{value.size()}},
               {"decoded_s", base::seconds_of(m_clock.now() - begun)},
               {"behind_s", base::seconds_of(m_spread.behind(m_clock.now()))}});
    m_spread.has(m_configuration.version);
    apply_limits();
    if (m_owner)
    {
        m_owner->set_configuration(m_configuration);
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
    return {m_configuration.version, m_spread.age(m_clock.now())};
}

configuration_record node::configuration() const
{
    return m_configuration_record;
}

void node::heard_of(configuration_age const& it,
                    network::socket_address const& from)
{
    auto const known = m_spread.newest();
    auto const fetches =
        m_spread.heard(it, m_configuration.version, m_clock.now());
    if (m_spread.newest() > known)
    {
        base::log(base::log_level::info, "configuration_behind",
                  {{"version", m_configuration.version},
                   {"newest", m_spread.newest()},
                   {"peer", text_of(from)},
                   {"age_s", base::seconds_of(m_spread.age(m_clock.now()))}});
    }
    if (fetches)
    {
        fetch_configuration(from);
    }
}

void node::fetch_configuration(network::socket_address const& from)
{
    m_peers.configuration(
        from, fetch_timeout,
        [this, from](peer_result<configuration_record> const& it)
        {
            m_spread.fetched();
            if (!it.answer)
            {
                base::log(base::log_level::warning, "configuration_unfetched",
                          {{"peer", text_of(from)}, {"received", it.received}});
                return;
            }
            configuration_changed(it.answer->key, it.answer->value, "peer");
        });
}

} // namespace berylhill::cell

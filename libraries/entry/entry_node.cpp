#include <entry/entry_node.hpp>

#include <base/hash.hpp>

#include <random>

namespace berylhill::entry
{

namespace
{

ownership::participant_options
tenure_options(settings::entry_settings const& it, std::string incarnation)
{
    ownership::participant_options out;
    out.incarnation = std::move(incarnation);
    out.instance = it.instance;
    out.zone = it.zone;
    out.lease_duration = base::from_seconds(it.ownership.tenure_s);
    out.clock_margin = base::from_seconds(it.ownership.tenure_s *
                                          it.ownership.clock_rate_margin) +
                       std::chrono::milliseconds{25};
    out.suspect_after = base::from_seconds(it.ownership.suspect_s);
    out.snapshot_interval = base::from_seconds(it.platform.snapshot_s);
    return out;
}

stream::writer_options writer_options(settings::entry_settings const& it)
{
    stream::writer_options out;
    out.appends_per_s = it.platform.appends_per_s;
    out.most_pending = static_cast<std::size_t>(it.limits.pending_log_entries);
    return out;
}

std::size_t threads(std::int64_t n)
{
    return static_cast<std::size_t>(n);
}

} // namespace

entry_node::entry_node(settings::entry_settings const& given,
                       caf::actor_system& actors)
    : settings{given}
    , incarnation{given.instance + "." + base::random_id().substr(0, 12)}
    , ownership_stream{"ownership-" + given.side}
    , tracer{given.instance, threads(given.traces.spans), clock}
    , http{std::make_shared<platform::http_pool>()}
    , log{http, given.platform.log,
          base::from_seconds(given.platform.timeout_s)}
    , list{http, given.platform.list,
           base::from_seconds(given.platform.timeout_s)}
    , workers{http}
    , minions{http}
    , worker_io{threads(given.limits.worker_threads)}
    , peer_io{threads(given.limits.peer_threads)}
    , call_io{threads(given.limits.minion_threads)}
    , system{actors}
    , writers{actors, log, clock, incarnation, writer_options(given)}
    , owned{tenure_options(given, incarnation), clock.now()}
{
}

std::uint64_t fresh_seed()
{
    std::random_device entropy;
    return (std::uint64_t{entropy()} << 32U) | entropy();
}

} // namespace berylhill::entry

#pragma once

#include <base/time.hpp>
#include <entry/configuration_store.hpp>
#include <entry/io_pool.hpp>
#include <entry/log_writers.hpp>
#include <entry/rights.hpp>
#include <entry/unit_registry.hpp>
#include <entry/view.hpp>
#include <platform/http_endpoint_list.hpp>
#include <platform/http_log_service.hpp>
#include <platform/http_minion_link.hpp>
#include <platform/http_pool.hpp>
#include <platform/http_worker_link.hpp>
#include <rpc/channel_pool.hpp>
#include <settings/entry_settings.hpp>
#include <telemetry/metrics.hpp>
#include <telemetry/tracer.hpp>

#include <caf/actor.hpp>
#include <caf/actor_system.hpp>

#include <json/value.h>

#include <atomic>
#include <functional>
#include <memory>
#include <string>

namespace berylhill::entry
{

class call_front;
class http_front;

/// The stream in which keys of calls are kept. Like `configuration` it is one
/// for both data centres, so that a key is used once, whichever side it came
/// to.
constexpr char const* calls_stream = "calls";

/// What the parts of one process share. Every member is thread-safe, or is set
/// before the first thread starts and stays.
struct entry_node
{
    /// Runs a method that other entries may call as well, here.
    using dispatcher = std::function<base::result<Json::Value>(
        std::string const&, Json::Value const&)>;

    entry_node(settings::entry_settings const& given,
               caf::actor_system& actors);

    settings::entry_settings const settings;
    /// Of this process; a restart is another one.
    std::string const incarnation;
    /// The stream of this side's ownership; the sides do not share units.
    std::string const ownership_stream;
    base::system_clock clock;
    telemetry::metrics metrics;
    telemetry::tracer tracer;
    rpc::channel_pool peers;
    std::shared_ptr<platform::http_pool> http;
    platform::http_log_service log;
    platform::http_endpoint_list list;
    platform::http_worker_link workers;
    platform::http_minion_link minions;
    /// For exchanges with workers; apart, so that silent workers do not keep
    /// heartbeats between entries waiting.
    io_pool worker_io;
    io_pool peer_io;
    /// For attempts at calls, each of which takes as long as its minion.
    io_pool call_io;
    caf::actor_system& system;
    log_writers writers;
    rights owned;
    view_store view;
    own_digests digests;
    configuration_store configuration;
    unit_registry units;
    call_front* calls{nullptr};
    http_front* front{nullptr};
    /// Callers whose threads wait for a job.
    std::atomic<std::int64_t> waiting_callers{0};
    dispatcher dispatch;
    /// A stop has begun: no new callers.
    std::atomic<bool> stopping{false};
    /// All units are handed over, and the process is about to end.
    std::atomic<bool> handed_over{false};
    /// `IP:port` that peers reach this process at.
    std::string peer_address;
    std::string http_address;
    caf::actor membership;
    caf::actor ownership;
};

/// A random seed from the system's entropy source.
[[nodiscard]] std::uint64_t fresh_seed();

} // namespace berylhill::entry

#pragma once

#include <base/log.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace berylhill::settings
{

/// Where this instance accepts connections, `IP:port`.
struct listen_settings
{
    std::string http;
    std::string peer;

    friend bool operator==(listen_settings const&,
                           listen_settings const&) = default;
};

/// Where the platform's services are and how hard they are used.
struct platform_settings
{
    std::string log;
    std::string list;
    /// This instance's share of what the log service takes.
    double appends_per_s{30};
    double timeout_s{2};
    /// How long a read of the log waits for a new record.
    double read_wait_s{1};
    double list_poll_s{1};
    /// A stream's live state is written anew when this old; below half of the
    /// service's retention.
    double snapshot_s{600};

    friend bool operator==(platform_settings const&,
                           platform_settings const&) = default;
};

/// Bounds that keep the process alive whatever callers do.
struct limit_settings
{
    std::int64_t memory_mb{256};
    std::int64_t connections{1'024};
    std::int64_t peer_connections{256};
    std::int64_t body_bytes{1'048'576};
    std::int64_t http_threads{64};
    std::int64_t peer_threads{16};
    std::int64_t worker_threads{16};
    std::int64_t minion_threads{64};
    /// A caller has this long to send its request.
    double request_read_s{5};
    std::int64_t waiting_calls{4'096};
    std::int64_t pending_log_entries{20'000};

    friend bool operator==(limit_settings const&,
                           limit_settings const&) = default;
};

struct log_settings
{
    base::log_level level{base::log_level::info};

    friend bool operator==(log_settings const&, log_settings const&) = default;
};

/// Rights to place, and how they move between instances.
struct ownership_settings
{
    double tenure_s{2.5};
    /// Clock rates of two instances differ at most by this share.
    double clock_rate_margin{0.01};
    double heartbeat_s{0.5};
    /// Heartbeats missing this long make an instance suspect.
    double suspect_s{1.5};
    std::int64_t moves_at_once{2};
    std::int64_t job_shards{1};
    std::int64_t minions_per_group{8};

    friend bool operator==(ownership_settings const&,
                           ownership_settings const&) = default;
};

struct worker_settings
{
    double lease_s{10};
    double heartbeat_s{1};
    double timeout_s{2};
    double quarantine_s{60};

    friend bool operator==(worker_settings const&,
                           worker_settings const&) = default;
};

struct minion_settings
{
    double ping_s{1};
    double timeout_s{1};
    /// Retries may be at most this share of first attempts.
    double retry_share{0.1};

    friend bool operator==(minion_settings const&,
                           minion_settings const&) = default;
};

struct stop_settings
{
    double drain_s{10};

    friend bool operator==(stop_settings const&,
                           stop_settings const&) = default;
};

struct trace_settings
{
    /// Spans kept in memory; the oldest give way.
    std::int64_t spans{20'000};

    friend bool operator==(trace_settings const&,
                           trace_settings const&) = default;
};

/// The settings of one entry instance. A value.
struct entry_settings
{
    std::string instance;
    std::string zone;
    std::string side;
    listen_settings listen;
    platform_settings platform;
    /// HTTP addresses of the other side's entries, by the side's name.
    std::map<std::string, std::vector<std::string>> sides;
    limit_settings limits;
    log_settings log;
    ownership_settings ownership;
    worker_settings workers;
    minion_settings minions;
    stop_settings stop;
    trace_settings traces;

    friend bool operator==(entry_settings const&,
                           entry_settings const&) = default;
};

} // namespace berylhill::settings

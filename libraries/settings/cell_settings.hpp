#pragma once

#include <base/log.hpp>

#include <algorithm>
#include <cstdint>
#include <string>

namespace berylhill::settings
{

/// Where a process of the cell accepts connections, `IP:port`.
struct cell_listen_settings
{
    std::string callers;
    std::string readiness;
    std::string peer;
    /// Where the other processes reach it; empty: at `peer`.
    std::string peer_advertised;
    std::string metrics;

    friend bool operator==(cell_listen_settings const&,
                           cell_listen_settings const&) = default;
};

/// The services of the platform, `IP:port`; empty where there is none.
struct cell_platform_settings
{
    std::string store;
    std::string advice;
    std::string machines;
    /// What the store takes: the largest record, and the records of one append.
    std::int64_t record_bytes{262'144};
    std::int64_t append_bytes{2'097'152};

    friend bool operator==(cell_platform_settings const&,
                           cell_platform_settings const&) = default;
};

/// Times that the operators of the platform promise or demand.
struct cell_bound_settings
{
    /// The longest lease that an instance grants.
    std::int64_t longest_lease_ms{10'000};
    /// From the request to stop until the process is ended by force.
    double stop_grace_s{6};
    /// How long the state of a finished job can be asked for.
    double status_kept_s{120};
    /// How often an instance writes its entry in the endpoint list.
    std::int64_t heartbeat_ms{1'500};
    /// For how long, beyond a heartbeat, a change of an instance may be unknown
    /// to this process.
    std::int64_t contact_ms{3'000};
    /// From an accepted configuration until it is in force everywhere.
    std::int64_t configuration_ms{2'000};

    friend bool operator==(cell_bound_settings const&,
                           cell_bound_settings const&) = default;
};

/// What the machine gives the process.
struct cell_limit_settings
{
    std::int64_t memory_mb{256};
    std::int64_t descriptors{4'096};
    /// The share of a processor that the process may use.
    double cores{0.25};
    /// What the machine's own link carries, Mbit/s.
    double link_mbps{100};
    /// What accepted work may take of the memory of each process that may own
    /// it; also at most half of `memory_mb`.
    std::int64_t work_mb{80};
    /// A job of a client has at most so many steps.
    std::int64_t job_steps{1'000};
    /// A request of a client has at most so many header and trailer fields.
    std::int64_t request_fields{128};

    /// What accepted work may take here, in bytes.
    [[nodiscard]] std::int64_t work_bytes() const
    {
        constexpr std::int64_t bytes_per_mb = 1'048'576;
        constexpr std::int64_t share = 2;
        return std::min(work_mb, memory_mb / share) * bytes_per_mb;
    }

    [[nodiscard]] std::int64_t millicores() const
    {
        constexpr double per_core = 1'000;
        return static_cast<std::int64_t>(cores * per_core);
    }

    friend bool operator==(cell_limit_settings const&,
                           cell_limit_settings const&) = default;
};

/// What one process of a cell is told by its settings file. A value.
struct cell_settings
{
    std::string instance;
    std::string zone;
    cell_listen_settings listen;
    cell_platform_settings platform;
    cell_bound_settings bounds;
    cell_limit_settings limits;
    base::log_level log_level{base::log_level::info};

    friend bool operator==(cell_settings const&,
                           cell_settings const&) = default;
};

} // namespace berylhill::settings

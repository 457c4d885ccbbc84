#pragma once

#include <cell/job_call.hpp>
#include <network/server_limits.hpp>
#include <scheduler/scheduler.hpp>
#include <telemetry/metrics.hpp>

#include <cstddef>
#include <string>

namespace berylhill::cell
{

/// The metrics of one process in Prometheus's text format, documented in
/// docs/TELEMETRY.md. Not thread-safe.
class node_metrics
{
public:
    node_metrics();

    /// Counts a client call that was answered.
    void answered(job_call_kind kind, job_answer_kind end, base::duration took);

    /// Counts a request that was refused with this status before it became a
    /// call.
    void denied(unsigned status);

    /// Values that are sampled each time the metrics are requested.
    struct readings
    {
        bool owns{false};
        bool ready{false};
        std::uint64_t token{0};
        std::int64_t configuration_version{0};
        /// The newest version that this process knows of.
        std::int64_t newest_configuration{0};
        /// Time since the version in force was known to be the newest.
        base::duration configuration_age{0};
        /// See `loop_lag::average`.
        base::duration loop_lag{0};
        /// See `processor_meter::cores`.
        double processor_cores{0};
        std::size_t connections{0};
        /// Bytes that the connections to all servers hold.
        std::size_t connection_bytes{0};
        std::uint64_t order_connections_opened{0};
        /// Null while this process does not own.
        scheduler::scheduler const* decisions{nullptr};
        /// See `scheduler::outdated_instances`.
        std::size_t outdated_instances{0};
        base::duration store_stuck{0};
        /// See `cell_owner::confirmed_ago`; 0 while this process does not own.
        base::duration confirmed_ago{0};
        /// Length of the present outage up to the last call that was not
        /// served; see `store_contact::outage`.
        base::duration store_outage{0};
        /// How often it asked another process to take over from it.
        std::uint64_t successors_named{0};
    };

    [[nodiscard]] std::string text(readings const& it);

    /// How often the server met a limit; part of the next text.
    void read_server(char const* listener, network::server_counts const& it);

private:
    void read_decisions(scheduler::scheduler const& it);

    telemetry::metrics m_metrics;
};

} // namespace berylhill::cell

#pragma once

#include <base/time.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace berylhill::workload
{

/// Timing of the advice service that knows a queue's policy. A value.
struct advice_spec
{
    /// The fixed part of the time for an answer.
    base::duration decision{0};
    /// The additional time for each instance that the request names.
    base::duration per_instance{0};
    /// How long an answer may be used.
    base::duration validity{0};

    friend bool operator==(advice_spec const&, advice_spec const&) = default;
};

/// Whether callers of a queue have to present a key of a client account, if the
/// configuration has accounts.
enum class caller_check : std::uint8_t
{
    key,
    none,
};

/// One queue of a configuration. A value.
struct queue_spec
{
    std::string name;
    /// The `Host` header of requests to this queue.
    std::string host;
    std::string path_prefix;
    /// The service whose instances run its tasks.
    std::string service;
    base::duration timeout{0};
    /// The constant part of a job's time objective: the objective is this plus
    /// `stretch` times the longest chain of work of the job.
    base::duration target_latency{0};
    /// 0 is the highest priority.
    std::int32_t priority{0};
    /// A task that ended as `failed` this many times fails its job.
    std::uint32_t max_attempts{1};
    /// The factor on a job's longest chain of work in its time objective.
    double stretch{1};
    std::optional<advice_spec> advice;
    caller_check callers{caller_check::key};

    friend bool operator==(queue_spec const&, queue_spec const&) = default;
};

/// One service of a configuration. A value.
struct service_spec
{
    std::string name;
    std::uint32_t connections_per_instance{0};
    /// Whether its instances refuse tasks that exceed their capacity.
    bool enforces_capacity{false};
    /// Whether its machines are switched off.
    bool standby{false};

    friend bool operator==(service_spec const&, service_spec const&) = default;
};

/// Limits on the requests of callers. A value.
struct request_limits
{
    std::size_t header_bytes{16'384};
    std::size_t body_bytes{262'144};
    base::duration header_timeout{std::chrono::seconds{3}};
    base::duration idle_timeout{std::chrono::seconds{15}};

    friend bool operator==(request_limits const&,
                           request_limits const&) = default;
};

} // namespace berylhill::workload

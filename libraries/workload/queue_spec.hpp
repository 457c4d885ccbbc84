#pragma once

#include <base/time.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace berylhill::workload
{

/// How the service that knows a queue's policy behaves. A value.
struct advice_spec
{
    base::duration decision{0};
    base::duration per_instance{0};
    base::duration validity{0};

    friend bool operator==(advice_spec const&, advice_spec const&) = default;
};

/// Whether the callers of a queue have to show a key of a client account,
/// where there are accounts.
enum class caller_check : std::uint8_t
{
    key,
    none,
};

/// One queue of the configuration in force. A value.
struct queue_spec
{
    std::string name;
    /// The `Host` of its callers.
    std::string host;
    std::string path_prefix;
    /// The service whose instances run its tasks.
    std::string service;
    base::duration timeout{0};
    /// Added to the stretched work of a job to give its objective.
    base::duration target_latency{0};
    /// 0 comes first.
    std::int32_t priority{0};
    /// A task that ended `failed` so often fails its job.
    std::uint32_t max_attempts{1};
    /// A job's objective is this many times its longest chain of work.
    double stretch{1};
    std::optional<advice_spec> advice;
    caller_check callers{caller_check::key};

    friend bool operator==(queue_spec const&, queue_spec const&) = default;
};

/// One service of the configuration. A value.
struct service_spec
{
    std::string name;
    std::uint32_t connections_per_instance{0};
    /// Its instances refuse what does not fit.
    bool enforces_capacity{false};
    /// Its machines are off.
    bool standby{false};

    friend bool operator==(service_spec const&, service_spec const&) = default;
};

/// Bounds on what a caller may send. A value.
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

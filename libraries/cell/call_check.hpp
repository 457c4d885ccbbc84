#pragma once

#include <cell/job_call.hpp>
#include <workload/cell_configuration.hpp>

#include <cstdint>
#include <string_view>

namespace berylhill::cell
{

enum class call_verdict : std::uint8_t
{
    allowed,
    no_queue,
    no_key,
};

/// Hash of the host and path prefix of a queue. Pure; thread-safe.
[[nodiscard]] std::uint64_t hash_of_route(workload::queue_spec const& it);

/// Hash of a caller's API key. Pure; thread-safe.
[[nodiscard]] std::uint64_t digest_of_key(std::string_view key);

/// Checks a call against the owner's configuration. The call may have been
/// accepted by a process with an older version, which must not serve callers
/// that the owner's version refuses. Pure; thread-safe.
[[nodiscard]] call_verdict check(job_call const& it,
                                 workload::cell_configuration const& newer);

} // namespace berylhill::cell

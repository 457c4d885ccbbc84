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

/// Names where callers reach a queue. Pure; thread-safe.
[[nodiscard]] std::uint64_t hash_of_route(workload::queue_spec const& it);

/// Names a caller's key. Pure; thread-safe.
[[nodiscard]] std::uint64_t digest_of_key(std::string_view key);

/// What a configuration says of a call that may have been decided by an older
/// one: a process that is behind serves nobody that the owner's version would
/// refuse. Pure; thread-safe.
[[nodiscard]] call_verdict check(job_call const& it,
                                 workload::cell_configuration const& newer);

} // namespace berylhill::cell

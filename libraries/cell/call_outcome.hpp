#pragma once

#include <cell/job_call.hpp>

#include <cstdint>
#include <optional>

namespace berylhill::cell
{

/// Which process decided the answer to a call.
enum class answer_source : std::uint8_t
{
    /// The process that took the call: it reached no owner in time, or knows
    /// that an earlier send may still take effect.
    entry,
    owner,
};

/// How a call ended that went to the owner, and how often it was sent. A value.
struct call_outcome
{
    job_answer answer;
    answer_source source{answer_source::entry};
    /// What the owner answered to the last send; nothing if it did not.
    std::optional<job_answer_kind> owner_answer{};
    /// Transmissions of the call that an owner may have received.
    std::uint32_t sends{0};
    /// An owner may have acted on a send whose answer did not arrive.
    bool send_unresolved{false};
    /// Token of the owner that was called last; 0: none was.
    std::uint64_t token{0};

    friend bool operator==(call_outcome const&, call_outcome const&) = default;
};

} // namespace berylhill::cell

#pragma once

#include <base/result.hpp>

#include <json/value.h>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace berylhill::ownership
{

/// Sent periodically from one entry to another to show that the sender runs.
struct heartbeat
{
    std::string incarnation;
    std::string instance;
    std::string zone;
    /// The sender is handing over its units and accepts no others.
    bool leaving{false};

    friend auto operator<=>(heartbeat const&, heartbeat const&) = default;
};

/// A watcher reports that it receives no heartbeats from a process. Both fields
/// are incarnations.
struct suspicion
{
    std::string from;
    std::string silent;

    friend auto operator<=>(suspicion const&, suspicion const&) = default;
};

/// An owner that cannot read the log asks another process to vouch that no
/// claim over its units has taken effect.
struct vouch_request
{
    /// The sender's incarnation.
    std::string from;
    std::string instance;
    std::uint64_t round{0};
    /// The sender has read all records before this offset.
    std::int64_t table_next{0};

    friend auto operator<=>(vouch_request const&,
                            vouch_request const&) = default;
};

/// Vouches that the sender knows of no claim over the requester's units, and
/// has no pending claim of its own, except for the units in `doubtful`.
struct vouch_answer
{
    /// The sender's incarnation.
    std::string from;
    std::string instance;
    std::uint64_t round{0};
    std::vector<std::string> doubtful;

    friend auto operator<=>(vouch_answer const&, vouch_answer const&) = default;
};

[[nodiscard]] Json::Value to_json(heartbeat const& it);
[[nodiscard]] Json::Value to_json(suspicion const& it);
[[nodiscard]] Json::Value to_json(vouch_request const& it);
[[nodiscard]] Json::Value to_json(vouch_answer const& it);

/// Each fails with `invalid` if a field is missing or has the wrong type.
[[nodiscard]] base::result<heartbeat> heartbeat_from(Json::Value const& it);
[[nodiscard]] base::result<suspicion> suspicion_from(Json::Value const& it);
[[nodiscard]] base::result<vouch_request>
vouch_request_from(Json::Value const& it);
[[nodiscard]] base::result<vouch_answer>
vouch_answer_from(Json::Value const& it);

} // namespace berylhill::ownership

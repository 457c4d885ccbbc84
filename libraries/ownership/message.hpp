#pragma once

#include <base/result.hpp>

#include <json/value.h>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace berylhill::ownership
{

/// "I am alive", from one entry to another.
struct heartbeat
{
    std::string incarnation;
    std::string instance;
    std::string zone;
    /// It hands its units over and takes no more.
    bool leaving{false};

    friend auto operator<=>(heartbeat const&, heartbeat const&) = default;
};

/// "I watch this process and do not hear it."
struct suspicion
{
    /// Incarnations.
    std::string from;
    std::string silent;

    friend auto operator<=>(suspicion const&, suspicion const&) = default;
};

/// An owner that cannot read the log asks a process that it knows.
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

/// "Nobody has taken anything from you that I know of or may have done myself,
/// but for these units."
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

/// Each fails with `invalid`.
[[nodiscard]] base::result<heartbeat> heartbeat_from(Json::Value const& it);
[[nodiscard]] base::result<suspicion> suspicion_from(Json::Value const& it);
[[nodiscard]] base::result<vouch_request>
vouch_request_from(Json::Value const& it);
[[nodiscard]] base::result<vouch_answer>
vouch_answer_from(Json::Value const& it);

} // namespace berylhill::ownership

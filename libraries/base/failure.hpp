#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace berylhill::base
{

/// What kind of thing went wrong; callers branch on this, people read the
/// message.
enum class failure_code : std::uint8_t
{
    invalid,         ///< The input is wrong; asking again will not help.
    not_found,       ///< No such thing.
    conflict,        ///< Somebody else's change came first.
    refused,         ///< A limit forbids it now; nothing was run.
    unavailable,     ///< A process cannot be reached; nothing was run.
    log_unavailable, ///< The log cannot be written to; nothing was run.
    timed_out,       ///< The deadline passed; nothing was run.
    superseded,      ///< The speaker's epoch or right is no longer current.
    outcome_unknown, ///< It may or may not have taken effect.
};

/// The stable, lower-case name used on the wire and in logs.
[[nodiscard]] std::string_view name_of(failure_code code) noexcept;

/// The code with this name; `outcome_unknown` for a name from a newer
/// version, because that is the only answer which is never a false promise.
[[nodiscard]] failure_code failure_code_from(std::string_view name) noexcept;

/// A typed error, carried by `base::result`.
struct failure
{
    failure_code code{failure_code::invalid};
    std::string message;
    /// Seconds until asking again makes sense; 0 where it never does.
    double retry_after_s{0};

    friend bool operator==(failure const&, failure const&) = default;
};

} // namespace berylhill::base

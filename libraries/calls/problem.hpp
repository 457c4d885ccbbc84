#pragma once

#include <calls/call_outcome.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace berylhill::calls
{

/// A refusal as an RFC 9457 problem document. A value.
struct problem
{
    /// The media type of `body`.
    static constexpr std::string_view s_content_type =
        "application/problem+json";

    std::int32_t status{500};
    /// Value of the Retry-After header in seconds; 0 for no header.
    std::int64_t retry_after_s{0};
    /// One line of JSON: type, title, status, detail, instance and the
    /// extension members `ran`, `code` and `retry_after_s`.
    std::string body;

    friend bool operator==(problem const&, problem const&) = default;
};

/// Maps a refusal to its HTTP status and problem document. `instance`
/// identifies the request, for example by its request id. Thread-safe.
[[nodiscard]] problem problem_of(refusal const& why, std::string_view instance);

/// The HTTP status of a refusal with this code. Thread-safe.
[[nodiscard]] std::int32_t status_of(refusal_code code) noexcept;

} // namespace berylhill::calls

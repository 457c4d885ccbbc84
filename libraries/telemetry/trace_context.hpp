#pragma once

#include <base/result.hpp>

#include <compare>
#include <string>
#include <string_view>

namespace berylhill::telemetry
{

/// The place of a hop in a trace, as the header `traceparent` of W3C Trace
/// Context (version 00) carries it. A value.
struct trace_context
{
    /// 32 hex digits, the same for the whole request.
    std::string trace_id;
    /// 16 hex digits, of the hop that sends the header.
    std::string span_id;
    bool sampled{true};

    friend auto operator<=>(trace_context const&,
                            trace_context const&) = default;
};

/// The start of a new trace, with fresh random ids. Thread-safe.
[[nodiscard]] trace_context new_trace();

/// A new hop in the same trace. Thread-safe.
[[nodiscard]] trace_context child_of(trace_context const& parent);

/// Fails with `invalid` where the header is not well formed; the caller then
/// begins a new trace, as the standard says.
[[nodiscard]] base::result<trace_context>
parse_traceparent(std::string_view header);

/// The header's value.
[[nodiscard]] std::string traceparent_of(trace_context const& it);

/// What an incoming header says, or a new trace where it says nothing or
/// something malformed. Thread-safe.
[[nodiscard]] trace_context trace_from(std::string_view header);

} // namespace berylhill::telemetry

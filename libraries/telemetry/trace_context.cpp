#include <telemetry/trace_context.hpp>

#include <base/hash.hpp>

#include <algorithm>

namespace berylhill::telemetry
{

namespace
{

constexpr std::size_t s_trace_digits = 32;
constexpr std::size_t s_span_digits = 16;
/// `00-<trace>-<span>-<flags>`
constexpr std::size_t s_header_size = 55;
constexpr std::size_t s_trace_at = 3;
constexpr std::size_t s_span_at = s_trace_at + s_trace_digits + 1;
constexpr std::size_t s_flags_at = s_span_at + s_span_digits + 1;

bool is_hex(std::string_view it)
{
    return it.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

/// The standard reserves all zeros for "invalid".
bool is_id(std::string_view it)
{
    return is_hex(it) && it.find_first_not_of('0') != std::string_view::npos;
}

std::string new_span_id()
{
    return base::random_id().substr(0, s_span_digits);
}

} // namespace

trace_context new_trace()
{
    return {base::random_id(), new_span_id(), true};
}

trace_context child_of(trace_context const& parent)
{
    return {parent.trace_id, new_span_id(), parent.sampled};
}

base::result<trace_context> parse_traceparent(std::string_view header)
{
    auto const malformed = [&]
    {
        return base::fail(base::failure_code::invalid,
                          "traceparent is not 00-<32 hex>-<16 hex>-<2 hex>");
    };
    // A later version may append fields, but only after a hyphen.
    if (header.size() < s_header_size || !is_hex(header.substr(0, 2)) ||
        header.substr(0, 2) == "ff" ||
        (header.size() > s_header_size &&
         (header.substr(0, 2) == "00" || header[s_header_size] != '-')))
    {
        return malformed();
    }
    auto const trace = header.substr(s_trace_at, s_trace_digits);
    auto const span = header.substr(s_span_at, s_span_digits);
    auto const flags = header.substr(s_flags_at, 2);
    auto const hyphens = header[s_trace_at - 1] == '-' &&
                         header[s_span_at - 1] == '-' &&
                         header[s_flags_at - 1] == '-';
    if (!hyphens || !is_id(trace) || !is_id(span) || !is_hex(flags))
    {
        return malformed();
    }
    // Sampled is the lowest bit, so the last digit is odd.
    auto const sampled =
        std::string_view{"13579bdf"}.find(flags[1]) != std::string_view::npos;
    return trace_context{std::string{trace}, std::string{span}, sampled};
}

std::string traceparent_of(trace_context const& it)
{
    return "00-" + it.trace_id + "-" + it.span_id +
           (it.sampled ? "-01" : "-00");
}

trace_context trace_from(std::string_view header)
{
    auto const parsed =
        base::capture([&] { return parse_traceparent(header); });
    return parsed ? parsed.value() : new_trace();
}

} // namespace berylhill::telemetry

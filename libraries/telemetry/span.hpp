#pragma once

#include <base/result.hpp>
#include <telemetry/trace_context.hpp>

#include <json/value.h>

#include <cstdint>
#include <string>
#include <vector>

namespace berylhill::telemetry
{

struct span_attribute
{
    std::string name;
    std::string value;

    friend bool operator==(span_attribute const&,
                           span_attribute const&) = default;
};

/// One hop of a request: what an instance did, from when, for how long. A
/// value.
struct span
{
    trace_context context;
    /// Of the hop that sent the request here; empty at the root.
    std::string parent_id;
    /// What was done, for example `admit` or `minion call`.
    std::string name;
    std::string instance;
    /// Microseconds since 1970 in UTC, by the instance's own clock.
    std::int64_t start_us{0};
    std::int64_t duration_us{0};
    std::vector<span_attribute> attributes;

    friend bool operator==(span const&, span const&) = default;
};

/// `{"trace_id","span_id","parent_id","name","instance","start_us",
/// "duration_us","attributes":{..}}`
[[nodiscard]] Json::Value to_json(span const& it);

/// Fails with `invalid`.
[[nodiscard]] base::result<span> span_from(Json::Value const& it);

} // namespace berylhill::telemetry

#pragma once

#include <compare>
#include <string>
#include <vector>

namespace berylhill::telemetry
{

/// One label of a Prometheus metric. Keep the number of different values
/// small: each makes a series of its own.
struct metric_label
{
    std::string name;
    std::string value;

    friend auto operator<=>(metric_label const&, metric_label const&) = default;
};

using metric_labels = std::vector<metric_label>;

} // namespace berylhill::telemetry

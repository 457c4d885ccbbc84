#pragma once

#include <base/time.hpp>

#include <cstdint>
#include <memory>
#include <vector>

namespace berylhill::telemetry
{

/// One bucket: how many were at most `upper_s`, together with those of all
/// buckets before it.
struct latency_bucket
{
    double upper_s{0};
    std::uint64_t count{0};

    friend bool operator==(latency_bucket const&,
                           latency_bucket const&) = default;
};

/// Spans of time in buckets that widen with the value: from 0.1 ms to 100 s,
/// five for each factor of ten. Thread-safe; a record costs one logarithm and
/// two atomic additions, and takes no lock.
class latency_histogram
{
public:
    latency_histogram();
    latency_histogram(latency_histogram const&) = delete;
    latency_histogram& operator=(latency_histogram const&) = delete;
    ~latency_histogram();

    void record(base::duration it);

    /// Cumulative, with rising bounds; the last bound is infinite.
    [[nodiscard]] std::vector<latency_bucket> buckets() const;

    [[nodiscard]] double sum_s() const;

    /// The upper bound of the bucket that holds this quantile, in seconds; 0
    /// while empty. Precondition: `q` from 0 to 1.
    [[nodiscard]] double quantile(double q) const;

private:
    struct storage;
    std::unique_ptr<storage> m_storage;
};

} // namespace berylhill::telemetry

#pragma once

#include <base/time.hpp>

#include <cstddef>

namespace berylhill::configuration
{

/// When this instance writes a snapshot of a stream's state, so that retention
/// never drops the last one. All instances keep the same schedule; the one of
/// lowest rank writes, and the others do only where it does not. Pure; not
/// thread-safe.
class snapshot_schedule
{
public:
    /// `period` is the longest time between two snapshots in the stream while
    /// some instance can write; keep it below half of the log's retention.
    snapshot_schedule(base::duration period, base::instant now);

    /// A snapshot was read from the stream, whoever wrote it.
    void seen(base::instant now);

    /// Whether to write one now. `rank` is this instance's place among the
    /// live ones, in an order that all agree on, from 0. Having said yes, it
    /// says no for a while, so that a slow log does not get many.
    [[nodiscard]] bool due(base::instant now, std::size_t rank);

private:
    base::duration m_period;
    base::instant m_due;
};

} // namespace berylhill::configuration

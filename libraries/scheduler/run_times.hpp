#pragma once

#include <base/time.hpp>

#include <map>
#include <string>

namespace berylhill::scheduler
{

/// How long tasks take, learnt by queue from what clients estimated and what
/// tasks then took. Clients' estimates are off by half and more; how much they
/// still say differs between queues, from nearly all to next to nothing.
///
/// A line is fitted through the logarithms of both: where the estimates say
/// little its slope is small, and the queue's mean is expected instead.
///
/// Pure. Not thread-safe.
class run_times
{
public:
    /// A task that was estimated at `estimate` has run from its beginning to
    /// its end in `ran`.
    void ended(std::string const& queue,
               base::duration estimate,
               base::duration ran);

    /// How long a task with such an estimate is expected to run.
    [[nodiscard]] base::duration run_time(std::string const& queue,
                                          base::duration estimate) const;

    /// The estimate that a client would have made who knew the queue's others:
    /// as `run_time`, without what slower instances add.
    [[nodiscard]] base::duration work(std::string const& queue,
                                      base::duration estimate) const;

private:
    struct line
    {
        double count{0};
        double mean_x{0};
        double mean_y{0};
        /// Sums of squares and products about the means, with those of an
        /// estimate that is believed, so that few ends change little.
        double xx{0};
        double xy{0};
    };

    [[nodiscard]] static double slope(line const& of);

    std::map<std::string, line> m_lines;
};

} // namespace berylhill::scheduler

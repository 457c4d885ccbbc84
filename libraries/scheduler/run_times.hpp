#pragma once

#include <base/time.hpp>

#include <map>
#include <string>

namespace berylhill::scheduler
{

/// Predicts run times by queue from the clients' estimates and the observed run
/// times. Clients' estimates are off by half and more, and how much information
/// they carry differs between queues, from nearly all to almost none.
///
/// Fits a line through the logarithms of estimates and run times. Where
/// estimates carry little information its slope is small, and the prediction
/// approaches the queue's mean.
///
/// Pure. Not thread-safe.
class run_times
{
public:
    /// Records a task that was estimated at `estimate` and ran from beginning
    /// to end in `ran`.
    void ended(std::string const& queue,
               base::duration estimate,
               base::duration ran);

    /// The expected run time of a task with this estimate.
    [[nodiscard]] base::duration run_time(std::string const& queue,
                                          base::duration estimate) const;

    /// The corrected estimate: as `run_time`, but without the time that slower
    /// instances add.
    [[nodiscard]] base::duration work(std::string const& queue,
                                      base::duration estimate) const;

private:
    struct line
    {
        double count{0};
        double mean_x{0};
        double mean_y{0};
        /// Sums of squares and products about the means. The prior is added
        /// when the slope is computed, so that few observations change little.
        double xx{0};
        double xy{0};
    };

    [[nodiscard]] static double slope(line const& of);

    std::map<std::string, line> m_lines;
};

} // namespace berylhill::scheduler

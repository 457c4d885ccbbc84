#include <scheduler/run_times.hpp>

#include <algorithm>
#include <cmath>

namespace berylhill::scheduler
{

namespace
{

/// Weight of the prior that estimates are correct, as a sum of squares: that of
/// about 10 tasks whose estimates differ by half.
constexpr double believed_spread = 2.5;

/// With fewer ended tasks nothing is learnt, since their mean is off by a third
/// and more.
constexpr double least_ends = 8;

constexpr double us_per_ms = 1'000;

double log_of(base::duration it)
{
    return std::log(std::max(1.0, static_cast<double>(it.count()) / us_per_ms));
}

base::duration duration_of(double logarithm)
{
    return base::duration{
        static_cast<std::int64_t>(std::exp(logarithm) * us_per_ms)};
}

} // namespace

void run_times::ended(std::string const& queue,
                      base::duration estimate,
                      base::duration ran)
{
    auto& it = m_lines[queue];
    auto const x = log_of(estimate);
    auto const y = log_of(ran);
    it.count += 1;
    auto const off_x = x - it.mean_x;
    it.mean_x += off_x / it.count;
    it.mean_y += (y - it.mean_y) / it.count;
    it.xx += off_x * (x - it.mean_x);
    it.xy += off_x * (y - it.mean_y);
}

double run_times::slope(line const& of)
{
    return std::clamp((of.xy + believed_spread) / (of.xx + believed_spread),
                      0.0, 1.0);
}

base::duration run_times::run_time(std::string const& queue,
                                   base::duration estimate) const
{
    auto const at = m_lines.find(queue);
    if (at == m_lines.end() || at->second.count < least_ends)
    {
        return estimate;
    }
    auto const& it = at->second;
    return duration_of(it.mean_y + slope(it) * (log_of(estimate) - it.mean_x));
}

base::duration run_times::work(std::string const& queue,
                               base::duration estimate) const
{
    auto const at = m_lines.find(queue);
    if (at == m_lines.end() || at->second.count < least_ends)
    {
        return estimate;
    }
    auto const& it = at->second;
    return duration_of(it.mean_x + slope(it) * (log_of(estimate) - it.mean_x));
}

} // namespace berylhill::scheduler

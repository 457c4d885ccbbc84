#include <telemetry/latency_histogram.hpp>

#include <boost/histogram.hpp>
#include <boost/histogram/accumulators/count.hpp>

#include <atomic>
#include <cassert>
#include <cmath>
#include <limits>

namespace berylhill::telemetry
{

namespace
{

namespace histogram = boost::histogram;

constexpr double s_least_s = 1e-4;
constexpr double s_most_s = 100;
constexpr unsigned s_bins = 30;

using axis_type =
    histogram::axis::regular<double, histogram::axis::transform::log>;
using cell_type = histogram::accumulators::count<std::uint64_t, true>;
using histogram_type = decltype(histogram::make_histogram_with(
    histogram::dense_storage<cell_type>{}, std::declval<axis_type>()));

} // namespace

struct latency_histogram::storage
{
    histogram_type cells{
        histogram::make_histogram_with(histogram::dense_storage<cell_type>{},
                                       axis_type{s_bins, s_least_s, s_most_s})};
    std::atomic<std::int64_t> sum_us{0};
};

latency_histogram::latency_histogram()
    : m_storage{std::make_unique<storage>()}
{
}

latency_histogram::~latency_histogram() = default;

void latency_histogram::record(base::duration it)
{
    m_storage->sum_us.fetch_add(it.count(), std::memory_order_relaxed);
    m_storage->cells(base::seconds_of(it));
}

std::vector<latency_bucket> latency_histogram::buckets() const
{
    auto const& axis = m_storage->cells.axis();
    std::vector<latency_bucket> out;
    std::uint64_t sum = 0;
    // Underflow belongs to the first bound, overflow to the infinite one.
    for (int i = -1; i <= axis.size(); ++i)
    {
        sum += m_storage->cells.at(i).value();
        auto const upper = i == axis.size()
                               ? std::numeric_limits<double>::infinity()
                               : axis.value(i + 1);
        out.push_back({upper, sum});
    }
    return out;
}

double latency_histogram::sum_s() const
{
    return base::seconds_of(
        base::duration{m_storage->sum_us.load(std::memory_order_relaxed)});
}

double latency_histogram::quantile(double q) const
{
    assert(q >= 0 && q <= 1);
    auto const all = buckets();
    auto const rank = static_cast<std::uint64_t>(
        std::ceil(q * static_cast<double>(all.back().count)));
    if (all.back().count == 0)
    {
        return 0;
    }
    for (auto const& it : all)
    {
        if (it.count > 0 && it.count >= rank)
        {
            return it.upper_s;
        }
    }
    return all.back().upper_s;
}

} // namespace berylhill::telemetry

#pragma once

#include <boost/histogram.hpp>

#include <tuple>

namespace berylhill::bench
{

/// Quantiles of positive values, from a histogram whose bins are 2% wide.
class quantiles
{
public:
    void add(double value)
    {
        m_bins(value);
        m_count += 1;
    }

    [[nodiscard]] double at(double quantile) const
    {
        auto const wanted = quantile * m_count;
        double seen = 0;
        for (auto&& it : boost::histogram::indexed(m_bins))
        {
            seen += *it;
            if (seen >= wanted)
            {
                return it.bin().upper();
            }
        }
        return m_bins.axis().bin(m_bins.axis().size() - 1).upper();
    }

    [[nodiscard]] double count() const
    {
        return m_count;
    }

private:
    using log_axis =
        boost::histogram::axis::regular<double,
                                        boost::histogram::axis::transform::log>;

    using bins = boost::histogram::histogram<std::tuple<log_axis>>;

    static bins make_bins()
    {
        constexpr unsigned count = 1400;
        constexpr double least = 1e-3;
        constexpr double most = 1e9;
        return boost::histogram::make_histogram(log_axis{count, least, most});
    }

    bins m_bins{make_bins()};
    double m_count{0};
};

} // namespace berylhill::bench

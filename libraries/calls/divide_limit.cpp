#include <calls/divide_limit.hpp>

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <numeric>

namespace berylhill::calls
{

namespace
{

/// Remainders that differ by less than this are equal up to rounding errors.
constexpr double s_same = 1e-6;

std::vector<std::size_t> order_by(std::vector<double> const& keys)
{
    std::vector<std::size_t> order(keys.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::stable_sort(order.begin(), order.end(),
                     [&](std::size_t a, std::size_t b)
                     { return keys[a] < keys[b]; });
    return order;
}

} // namespace

std::vector<double>
divide_limit(double limit, std::vector<double> const& demands, double floor)
{
    auto const n = demands.size();
    if (n == 0)
    {
        return {};
    }
    auto const least = limit * floor / static_cast<double>(n);
    std::vector<double> shares(n, least);
    auto rest = limit - least * static_cast<double>(n);
    auto waiting = n;
    for (auto const it : order_by(demands))
    {
        auto const even = rest / static_cast<double>(waiting);
        auto const part = std::clamp(demands[it] - least, 0.0, even);
        shares[it] += part;
        rest -= part;
        --waiting;
    }
    for (auto& it : shares)
    {
        it += rest / static_cast<double>(n);
    }
    return shares;
}

std::vector<double>
divide_units(double limit, std::vector<double> const& demands, double floor)
{
    auto shares = divide_limit(std::floor(limit), demands, floor);
    std::vector<double> missing(shares.size());
    auto rest = std::floor(limit);
    for (std::size_t i = 0; i < shares.size(); ++i)
    {
        missing[i] = std::round((std::floor(shares[i]) - shares[i]) / s_same);
        shares[i] = std::floor(shares[i]);
        rest -= shares[i];
    }
    for (auto const it : order_by(missing))
    {
        if (rest < 1)
        {
            break;
        }
        shares[it] += 1;
        rest -= 1;
    }
    return shares;
}

} // namespace berylhill::calls

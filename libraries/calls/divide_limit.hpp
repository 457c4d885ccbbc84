#pragma once

#include <vector>

namespace berylhill::calls
{

/// Divides `limit` over entries by their `demands`. Each entry first gets the
/// fraction `floor` of an even share, so that a call at an idle entry is not
/// refused; then demands are met, smallest first; the remainder is spread
/// evenly. The shares add up to `limit` (0 entries: empty). Thread-safe.
/// Preconditions: limit and demands are not negative, floor is from 0 to 1.
[[nodiscard]] std::vector<double>
divide_limit(double limit, std::vector<double> const& demands, double floor);

/// Like `divide_limit`, in whole units: the units lost by rounding down go to
/// the largest remainders, with ties to the earlier entry. Thread-safe.
[[nodiscard]] std::vector<double>
divide_units(double limit, std::vector<double> const& demands, double floor);

} // namespace berylhill::calls

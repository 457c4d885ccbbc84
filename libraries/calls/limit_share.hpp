#pragma once

#include <vector>

namespace berylhill::calls
{

/// Divides `limit` over entries by their `demands`: each first gets the part
/// `floor` of an even share, so that a call at a quiet entry is not refused;
/// then demands are met, the smallest first; what is left is spread evenly.
/// The sum is `limit` (0 entries: empty). Thread-safe. Preconditions: limit
/// and demands are not negative, floor is from 0 to 1.
[[nodiscard]] std::vector<double>
divide_limit(double limit, std::vector<double> const& demands, double floor);

/// The same in whole units: the largest remainders get the units that
/// rounding down leaves, the earlier entry first. Thread-safe.
[[nodiscard]] std::vector<double>
divide_units(double limit, std::vector<double> const& demands, double floor);

} // namespace berylhill::calls

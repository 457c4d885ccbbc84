#pragma once

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_real_distribution.hpp>

namespace berylhill::calls
{

/// Where decisions take their random numbers from: the same numbers from the
/// same seed on every machine, which the standard's distributions do not
/// promise.
using generator = boost::random::mt19937_64;

/// A number from `low` up to, not including, `high`. Precondition: low < high.
[[nodiscard]] inline double uniform(generator& random, double low, double high)
{
    return boost::random::uniform_real_distribution<double>{low, high}(random);
}

} // namespace berylhill::calls

#pragma once

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_real_distribution.hpp>

namespace berylhill::calls
{

/// The random number generator for decisions. Unlike with the standard
/// library's distributions, the same seed gives the same numbers on every
/// platform.
using generator = boost::random::mt19937_64;

/// A random number in [low, high). Precondition: low < high.
[[nodiscard]] inline double uniform(generator& random, double low, double high)
{
    return boost::random::uniform_real_distribution<double>{low, high}(random);
}

} // namespace berylhill::calls

// SPDX-License-Identifier: MIT
// Random draws for the simulation, from any uniform random bit generator.
#pragma once

#include "types.h"

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>

#include <cstddef>

namespace Robinrail {

// From [0, 1).
template<typename Random>
double drawUniform(Random &random)
{
    boost::random::uniform_real_distribution<double> distribution(0, 1);
    return distribution(random);
}

// From [0, count).
template<typename Random>
std::size_t drawIndex(Random &random, std::size_t count)
{
    boost::random::uniform_int_distribution<std::size_t> distribution(0, count - 1);
    return distribution(random);
}

// At least 1 us, so that a draw is never zero.
template<typename Random>
Duration drawExponential(Random &random, Duration mean)
{
    boost::random::exponential_distribution<double> distribution(1.0 / static_cast<double>(mean.count()));
    return Duration(1 + static_cast<std::int64_t>(distribution(random)));
}

inline double ratio(Duration part, double whole)
{
    return whole > 0 ? static_cast<double>(part.count()) / whole : 0;
}

} // namespace Robinrail

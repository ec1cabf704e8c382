// SPDX-License-Identifier: MIT
// Hashing: XXH3 over identifiers, and weighted rendezvous scores.
#pragma once

#include "types.h"

#include <cmath>

// Inlined, as an opening packet needs up to 128 hashes of two numbers (17 instructions each).
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace Robinrail {

// Hashes two numbers into a uniformly distributed one.
inline std::uint64_t hashPair(std::uint64_t first, std::uint64_t second)
{
    const std::uint64_t input[2] = {first, second};
    return XXH3_64bits(input, sizeof(input));
}

// Score of one candidate in weighted rendezvous hashing (Thaler and Ravishankar 1998; logarithmic
// weights after Schindelhauer and Schomaker 2005). The highest score wins; adding or removing
// a candidate moves only the keys that it wins or had won. A weight of 0 never wins.
inline double rendezvousScore(std::uint64_t key, std::uint64_t candidate, double weight)
{
    constexpr double Scale = 0x1p-53;
    const double uniform = (static_cast<double>(hashPair(key, candidate) >> 11) + 0.5) * Scale;
    return weight / -std::log(uniform);
}

} // namespace Robinrail

// SPDX-License-Identifier: MIT
// Duration math: arithmetic with durations of which zero means unknown or none.
#pragma once

#include "types.h"

#include <algorithm>
#include <cmath>

namespace Robinrail::detail {

inline double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

inline double toMilliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

inline Duration scaled(Duration duration, double factor)
{
    return Duration(std::llround(static_cast<double>(duration.count()) * factor));
}

// Mean of `count` durations; zero if there are none.
inline Duration mean(Duration sum, std::uint32_t count)
{
    return count > 0 ? sum / count : Duration{};
}

// The smaller of two durations of which zero means unknown.
inline Duration smallestKnown(Duration first, Duration second)
{
    if (first == Duration{} || second == Duration{}) {
        return std::max(first, second);
    }
    return std::min(first, second);
}

} // namespace Robinrail::detail

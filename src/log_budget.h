// SPDX-License-Identifier: MIT
// Log budget: bounds how many lines of a kind are written, so that load can't make a daemon write without end.
#pragma once

#include "types.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace Robinrail {

// Lines of one kind that may come at once, and a second over time: enough to follow an incident, and below a thousandth
// of a core.
inline constexpr double MaxLogBurst = 20;
inline constexpr double MaxLogLinesPerSecond = 10;

// A token bucket for one kind of line.
class LogRateLimiter
{
public:
    // Takes a line's place; empty if the line must be left out, else how many were left out before it.
    std::optional<std::uint64_t> take(TimePoint now)
    {
        const double seconds = std::chrono::duration<double>(now - m_lastRefill).count();
        m_tokens = std::min(MaxLogBurst, m_tokens + seconds * MaxLogLinesPerSecond);
        m_lastRefill = now;
        if (m_tokens < 1) {
            ++m_suppressedLines;
            return std::nullopt;
        }
        m_tokens -= 1;
        return std::exchange(m_suppressedLines, 0);
    }

private:
    double m_tokens = MaxLogBurst;
    TimePoint m_lastRefill;
    std::uint64_t m_suppressedLines = 0;
};

} // namespace Robinrail

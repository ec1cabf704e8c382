// SPDX-License-Identifier: MIT
// Log rate limiter: bounds the number of log lines of one kind, so that load can't make a daemon log without limit.
#pragma once

#include "types.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace Robinrail {

// Burst size and sustained rate of one kind of line: enough to follow an incident, at less than 0.1% of a core.
inline constexpr double MaxLogBurst = 20;
inline constexpr double MaxLogLinesPerSecond = 10;

// Token bucket for one kind of line.
class LogRateLimiter
{
public:
    // Takes a token for one line. Empty if the line must be suppressed, otherwise the number of lines suppressed since the last one.
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

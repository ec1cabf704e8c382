// SPDX-License-Identifier: MIT
// Stall detector: measures how long a process was not scheduled, and thus how old the packets in its sockets may be.
#pragma once

#include "types.h"

#include <algorithm>

namespace Robinrail {

// A pause between two calls of tick() from which on the process counts as stalled: twice the interval of its timer.
inline constexpr Duration StallThreshold = std::chrono::milliseconds(100);

// A pause from which on messages that waited may no longer be true. A process that its processor quota holds back has shorter ones.
inline constexpr Duration LongStall = std::chrono::milliseconds(400);

class StallDetector
{
public:
    explicit StallDetector(TimePoint now)
        : m_last(now)
    {
    }

    // Records that the process runs. Call it at shorter intervals than StallThreshold, and before reading from the sockets.
    void tick(TimePoint now)
    {
        const Duration pause = now - m_last;
        m_last = now;
        if (pause >= StallThreshold) {
            m_maxQueueTime = std::max(m_maxQueueTime, pause);
        }
        if (pause >= LongStall) {
            m_lastLongStallEnd = now;
        }
    }

    // Whether a long stall has ended within `window`: messages read now may have waited in a socket during it.
    bool longStallWithin(TimePoint now, Duration window) const
    {
        return m_lastLongStallEnd != TimePoint{} && now - m_lastLongStallEnd < window;
    }

    // All packets that had arrived were read.
    void queueEmptied()
    {
        m_maxQueueTime = {};
    }

    // Upper bound of the time that packets read now were queued; 0 if the process was not stalled.
    Duration maxQueueTime() const
    {
        return m_maxQueueTime;
    }

private:
    TimePoint m_last;
    Duration m_maxQueueTime{};
    TimePoint m_lastLongStallEnd; // 0: there was none.
};

} // namespace Robinrail

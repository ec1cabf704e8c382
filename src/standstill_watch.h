// SPDX-License-Identifier: MIT
// Standstill watch: tells for how long a process did not run, so that what waited in its sockets is old.
#pragma once

#include "types.h"

#include <algorithm>

namespace Robinrail {

// A pause between two turns of a process that is no standstill: twice the interval of its clock.
inline constexpr Duration StallThreshold = std::chrono::milliseconds(100);

class StallDetector
{
public:
    explicit StallDetector(TimePoint now)
        : m_last(now)
    {
    }

    // The process runs. Call it more often than StallThreshold, and before reading what may have waited.
    void turn(TimePoint now)
    {
        const Duration pause = now - m_last;
        m_last = now;
        if (pause >= StallThreshold) {
            m_maxQueueTime = std::max(m_maxQueueTime, pause);
        }
    }

    // All that waited has been read.
    void queueEmptied()
    {
        m_maxQueueTime = {};
    }

    // How long what is read now may have waited at most; 0 if the process did not stand still.
    Duration waited() const
    {
        return m_maxQueueTime;
    }

private:
    TimePoint m_last;
    Duration m_maxQueueTime{};
};

} // namespace Robinrail

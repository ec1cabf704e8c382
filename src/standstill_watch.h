// SPDX-License-Identifier: MIT
// Standstill watch: tells when a process did not run for a while, so that what waited in its sockets is old.
#pragma once

#include "types.h"

namespace Robinrail {

// Longest pause between two turns of a process that runs. After as much the fabric may have handed a flow to
// another balancer: it asks for readiness twice a second, and two misses suffice.
inline constexpr Duration StandstillLimit = std::chrono::milliseconds(500);

class StandstillWatch
{
public:
    explicit StandstillWatch(TimePoint now)
        : m_last(now)
    {
    }

    // The process runs. Call it more often than StandstillLimit, and before reading what may have waited.
    void turn(TimePoint now)
    {
        m_tainted = m_tainted || now - m_last >= StandstillLimit;
        m_last = now;
    }

    // All that waited has been read.
    void queueEmptied()
    {
        m_tainted = false;
    }

    // Whether what is read now may have waited through a standstill.
    bool tainted() const
    {
        return m_tainted;
    }

private:
    TimePoint m_last;
    bool m_tainted = false;
};

} // namespace Robinrail

// SPDX-License-Identifier: MIT
// Dial schedule: decides when a node makes its next attempt to connect to one peer.
//
// After a power failure all machines restart within a few hundred milliseconds of each other, and a machine that is still
// down drops packets without a reset. An attempt to reach such a machine does not report its failure in time, so the next
// attempt must not wait for it. A peer that accepts connections but is slow, because many nodes dial it at once, must not
// get further attempts, as each costs it a handshake.
#pragma once

#include "types.h"

#include <algorithm>

namespace Robinrail {

// Interval between the first attempts. Bounds how late a link is established after the peer has come up; half of it on average.
inline constexpr Duration InitialDialInterval = std::chrono::milliseconds(50);

// The interval grows by InitialDialInterval after this number of attempts, up to MaxDialInterval. It stays at 50 ms for the
// first half second, in which most peers come back; an attempt takes about 40 us of processor time.
inline constexpr int AttemptsPerDialInterval = 10;
inline constexpr Duration MaxDialInterval = std::chrono::milliseconds(1000);

// Most handshakes with one peer that may be in progress at once.
inline constexpr int MaxConcurrentHandshakes = 2;

// A handshake whose end has not been reported for this long is no longer counted; more than twice HandshakeTimeoutMs of
// websocket_hub.cpp.
inline constexpr Duration HandshakeExpiry = std::chrono::milliseconds(4000);

class DialSchedule
{
public:
    // Whether to start an attempt now.
    bool due(TimePoint now) const
    {
        return now >= m_nextAttempt && (m_pendingHandshakes < MaxConcurrentHandshakes || now - m_lastHandshakeStart >= HandshakeExpiry);
    }

    void attemptStarted(TimePoint now)
    {
        if (now - m_lastHandshakeStart >= HandshakeExpiry) {
            m_pendingHandshakes = 0;
        }
        ++m_attempts;
        m_nextAttempt = now + std::min(InitialDialInterval * (1 + m_attempts / AttemptsPerDialInterval), MaxDialInterval);
    }

    // The TCP connection of an attempt is established, and its handshake begins.
    void connected(TimePoint now)
    {
        ++m_pendingHandshakes;
        m_lastHandshakeStart = now;
    }

    // A handshake ended, successfully or not.
    void handshakeEnded()
    {
        m_pendingHandshakes = std::max(m_pendingHandshakes - 1, 0);
    }

    // The peer has identified itself; the next attempts use the initial interval again.
    void linkEstablished()
    {
        m_attempts = 0;
    }

private:
    int m_attempts = 0; // Since the last established link.
    int m_pendingHandshakes = 0;
    TimePoint m_lastHandshakeStart;
    TimePoint m_nextAttempt;
};

} // namespace Robinrail

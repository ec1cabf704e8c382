// SPDX-License-Identifier: MIT
// Dial schedule: when a node tries again to link up with one peer.
//
// The pattern that it answers: after a loss of power all machines come back within a few hundred milliseconds, each
// at its own moment, and until then a machine drops what it gets. An attempt that meets a dark machine says nothing
// of its end, so the next one must not wait for it. A peer that answers but is slow, as many dial it at once, must
// get no more attempts instead: each costs it a handshake.
#pragma once

#include "types.h"

#include <algorithm>

namespace Robinrail {

// The pause between attempts at first. It is what a link is late, half of it on average, once the peer is there.
inline constexpr Duration InitialDialInterval = std::chrono::milliseconds(50);

// The pause grows by as much after every so many attempts, to 1 s at the most. The first half second, in which most
// peers come back, has a pause of 50 ms throughout; an attempt takes about 40 us of processor time.
inline constexpr int AttemptsPerDialInterval = 10;
inline constexpr Duration MaxDialInterval = std::chrono::milliseconds(1000);

// Attempts that a peer has answered and whose handshakes are under way at once.
inline constexpr int MaxConcurrentHandshakes = 2;

// A handshake that said nothing of its end for this long is counted no more: twice the hub's time-out.
inline constexpr Duration HandshakeExpiry = std::chrono::milliseconds(4000);

class DialSchedule
{
public:
    // Whether to begin an attempt now.
    bool due(TimePoint now) const
    {
        return now >= m_due && (m_handshakes < MaxConcurrentHandshakes || now - m_lastHandshake >= HandshakeExpiry);
    }

    void attemptStarted(TimePoint now)
    {
        if (now - m_lastHandshake >= HandshakeExpiry) {
            m_handshakes = 0;
        }
        ++m_attempts;
        m_due = now + std::min(InitialDialInterval * (1 + m_attempts / AttemptsPerDialInterval), MaxDialInterval);
    }

    // The peer's machine answered one of the attempts.
    void connected(TimePoint now)
    {
        ++m_handshakes;
        m_lastHandshake = now;
    }

    // A handshake ended, whether or not with a link.
    void handshakeEnded()
    {
        m_handshakes = std::max(m_handshakes - 1, 0);
    }

    // The peer said who it is: the next attempts are the first ones again.
    void linkEstablished()
    {
        m_attempts = 0;
    }

private:
    int m_attempts = 0; // Since the peer was linked last.
    int m_handshakes = 0;
    TimePoint m_lastHandshake;
    TimePoint m_due;
};

} // namespace Robinrail

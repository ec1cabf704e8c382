// SPDX-License-Identifier: MIT
// Link activity: decides when an idle link needs a ping and when a silent link counts as dead. A connection can stop
// delivering without a reset, and messages queued on it are then lost unnoticed for as long as the kernel retransmits,
// which is many minutes.
#pragma once

#include "types.h"

#include <utility>

namespace Robinrail {

// A ping is sent on a link on which nothing was sent for this long.
inline constexpr Duration LinkPingInterval = std::chrono::milliseconds(500);

// A link on which nothing was received for this long, that is four ping intervals, is closed.
inline constexpr Duration LinkTimeout = std::chrono::milliseconds(2000);

// Times of the last message in each direction of a link.
struct LinkActivity {
    TimePoint lastReceived;
    TimePoint lastSent;

    bool timedOut(TimePoint now) const
    {
        return now - lastReceived >= LinkTimeout;
    }

    bool pingDue(TimePoint now) const
    {
        return now - lastSent >= LinkPingInterval;
    }
};

// Time of the last tick, shared by all links of a node. Detects that the process itself was stalled.
class LinkActivityClock
{
public:
    explicit LinkActivityClock(TimePoint now)
        : m_now(now)
    {
    }

    // Advances the clock. Returns whether the process was stalled since the last call, in which case the silence of peers
    // proves nothing.
    bool advance(TimePoint now)
    {
        return now - std::exchange(m_now, now) >= LinkTimeout / 2;
    }

    TimePoint now() const
    {
        return m_now;
    }

private:
    TimePoint m_now;
};

} // namespace Robinrail

// SPDX-License-Identifier: MIT
// Link silence: when a link needs a ping, and when it counts as dead. A connection can fall silent without a reset, and a
// message that waits on it is lost without a word for as long as the kernel retransmits, which is many minutes.
#pragma once

#include "types.h"

#include <utility>

namespace Robinrail {

// A link that said nothing for this long gets a ping.
inline constexpr Duration LinkPingInterval = std::chrono::milliseconds(500);

// A link on which nothing was heard for this long is closed: four lost pings.
inline constexpr Duration LinkTimeout = std::chrono::milliseconds(2000);

// When something was last heard and said on a link.
struct LinkActivity {
    TimePoint heard;
    TimePoint said;

    bool silent(TimePoint now) const
    {
        return now - heard >= LinkTimeout;
    }

    bool pingDue(TimePoint now) const
    {
        return now - said >= LinkPingInterval;
    }
};

// The clock of a process's links.
class LinkActivityClock
{
public:
    explicit LinkActivityClock(TimePoint now)
        : m_now(now)
    {
    }

    // Moves on; whether the process stood still before, so that nothing can be said about the silence of others.
    bool turn(TimePoint now)
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

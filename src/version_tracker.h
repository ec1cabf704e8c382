// SPDX-License-Identifier: MIT
// Version tracker: decides whether a replica may confirm its routing version as the newest one accepted so far.
//
// A balancer follows a single replica and relies on that confirmation. A replica in contact with its leader may still lag:
// while it catches up, or if its log can't be applied. The versions that the other replicas report as in force reveal
// this, whatever the cause of the lag.
#pragma once

#include <algorithm>
#include <cstdint>

namespace Robinrail {

// Version of a replica's routing state. Both numbers only increase, independently of each other.
struct RoutingProgress {
    std::uint64_t version = 0; // Of the routing table.
    std::uint64_t drainRevision = 0; // Of the list of drained data centres.

    bool operator==(const RoutingProgress &) const = default;

    bool reaches(const RoutingProgress &other) const
    {
        return version >= other.version && drainRevision >= other.drainRevision;
    }
};

class VersionTracker
{
public:
    // Records what another replica reports as in force.
    void observeInForce(const RoutingProgress &progress)
    {
        m_highest.version = std::max(m_highest.version, progress.version);
        m_highest.drainRevision = std::max(m_highest.drainRevision, progress.drainRevision);
    }

    // `caughtUp`: see RaftCore::caughtUp(). `own`: what this replica has in force.
    bool isNewest(bool caughtUp, const RoutingProgress &own) const
    {
        return caughtUp && own.reaches(m_highest);
    }

private:
    RoutingProgress m_highest; // Highest numbers reported by any other replica.
};

} // namespace Robinrail

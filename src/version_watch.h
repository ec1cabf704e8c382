// SPDX-License-Identifier: MIT
// Version watch: whether a replica may say that no newer routing than its own was accepted before now.
//
// The pattern that it answers: a balancer follows one replica and believes its word. A replica that hears its leader may
// still lag behind: while it catches up, or if its log can't be applied. What the other replicas have in force is the
// proof against it, whatever the reason for its lag.
#pragma once

#include <algorithm>
#include <cstdint>

namespace Robinrail {

// How new a replica's routing is. Both numbers only rise, each by itself.
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
    // Another replica has this in force.
    void observeInForce(const RoutingProgress &progress)
    {
        m_highest.version = std::max(m_highest.version, progress.version);
        m_highest.drainRevision = std::max(m_highest.drainRevision, progress.drainRevision);
    }

    // `caughtUp`: this replica held all that its quorum or its leader had of late. `own`: what it has in force.
    bool isNewest(bool caughtUp, const RoutingProgress &own) const
    {
        return caughtUp && own.reaches(m_highest);
    }

private:
    RoutingProgress m_highest; // In force at any other replica.
};

} // namespace Robinrail

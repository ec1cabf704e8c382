// SPDX-License-Identifier: MIT
// Reachability tracker: records to which replicas there was no link for a Raft message. Such a message is dropped, which
// Raft tolerates like packet loss; but if every message to a replica is dropped, that replica makes no progress although
// its established links look healthy, so the change of state is reported.
#pragma once

#include "types.h"

#include <cstdint>
#include <set>

namespace Robinrail {

class ReachabilityTracker
{
public:
    // Records whether there was a link for a message to a replica. True if that has changed since the previous
    // message; a replica counts as reachable at first.
    bool recordSend(ReplicaId replica, bool linked)
    {
        if (linked) {
            return m_unreachable.erase(replica) > 0;
        }
        ++m_unsent;
        return m_unreachable.insert(replica).second;
    }

    // Number of messages dropped for want of a link.
    std::uint64_t unsent() const
    {
        return m_unsent;
    }

private:
    std::set<ReplicaId> m_unreachable;
    std::uint64_t m_unsent = 0;
};

} // namespace Robinrail

// SPDX-License-Identifier: MIT
// Reach watch: to which replicas messages of consensus found no link. Such a message is lost, as on a network, and the
// protocol makes up for it; but where each one is lost, a replica stands still while all its links look well.
#pragma once

#include "types.h"

#include <cstdint>
#include <set>

namespace Robinrail {

class ReachabilityTracker
{
public:
    // A message to a replica found a link, or none. Whether that is news since the message before it.
    bool recordSend(ReplicaId replica, bool linked)
    {
        if (linked) {
            return m_unreachable.erase(replica) > 0;
        }
        ++m_unsent;
        return m_unreachable.insert(replica).second;
    }

    // Messages that found no link so far.
    std::uint64_t unsent() const
    {
        return m_unsent;
    }

private:
    std::set<ReplicaId> m_unreachable;
    std::uint64_t m_unsent = 0;
};

} // namespace Robinrail

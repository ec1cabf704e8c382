// SPDX-License-Identifier: MIT
// Version watch: whether a replica may say that no higher routing version than its own was accepted before now.
//
// The pattern that it answers: a balancer follows one replica and believes its word. A replica that hears its leader may
// still lag behind: while it catches up, or if its log can't be applied. What the other replicas have in force is the
// proof against it, whatever the reason for its lag.
#pragma once

#include <algorithm>
#include <cstdint>

namespace Robinrail {

class VersionWatch
{
public:
    // Another replica has this version in force.
    void sawInForce(std::uint64_t version)
    {
        m_highest = std::max(m_highest, version);
    }

    // `inContact`: this replica heard from a quorum or its leader of late. `own`: the version that it has in force.
    bool newest(bool inContact, std::uint64_t own) const
    {
        return inContact && own >= m_highest;
    }

private:
    std::uint64_t m_highest = 0; // In force at any other replica.
};

} // namespace Robinrail

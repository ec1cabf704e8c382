// SPDX-License-Identifier: MIT
// Announcement choice: selects the replica at which a target announces itself.
//
// A target that used all replicas in turn would keep a connection to each of them: with 3,000 targets, 3,000 connections
// at each replica, and four fifths of the announcements would cross data centres (of five). With one replica assigned to
// each target there are a fifth as many connections, all within the target's own data centre.
#pragma once

#include "hash.h"
#include "node_message.h"

#include <algorithm>
#include <optional>
#include <span>

namespace Robinrail {

// One in this many announcements is answered with the replica to use. A replica that returns thus receives its targets'
// connections spread over this many announcement intervals instead of all within one.
inline constexpr std::uint64_t AnnouncementsPerRedirect = 4;

// The reachable replica that a target should use; empty if this announcement's answer does not name one. Replicas in the
// target's data centre are preferred; rendezvous hashing spreads the targets over replicas of equal preference.
inline std::optional<ReplicaId> announcementReplica(const TargetRecord &record, std::span<const ReplicaLocation> reachable)
{
    const bool redirect = (record.sequence + hashPair(value(record.key), 0)) % AnnouncementsPerRedirect == 0;
    if (!redirect || reachable.empty()) {
        return std::nullopt;
    }
    const auto rank = [&record](const ReplicaLocation &place) {
        return std::pair(place.dataCentre == record.dataCentre, hashPair(value(record.key), value(place.replica)));
    };
    const auto best = std::max_element(reachable.begin(), reachable.end(), [&rank](const ReplicaLocation &left, const ReplicaLocation &right) {
        return rank(left) < rank(right);
    });
    return best->replica;
}

} // namespace Robinrail

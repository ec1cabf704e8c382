// SPDX-License-Identifier: MIT
// Announcement choice: at which replica a target announces itself.
//
// The pattern that it answers: a target that calls the replicas in turn keeps a connection to each, 3,000 at each replica
// where there are 3,000 targets, and four fifths of its calls cross between data centres. With one replica each it is a
// fifth as many connections, in the target's own data centre.
#pragma once

#include "hash.h"
#include "node_message.h"

#include <algorithm>
#include <optional>
#include <span>

namespace Robinrail {

// One announcement in so many tells a target where to go. A replica that has come back gets its targets again over so
// many announcements, and not all their connections within one.
inline constexpr std::uint64_t AnnouncementsPerMove = 4;

// The replica for a target, one of those that can be reached; empty if it is not told with this announcement. Replicas of
// its data centre go first, and targets spread over equals by rendezvous hashing.
inline std::optional<ReplicaId> announcementReplica(const TargetRecord &record, std::span<const ReplicaLocation> reachable)
{
    const bool told = (record.sequence + hashPair(value(record.key), 0)) % AnnouncementsPerMove == 0;
    if (!told || reachable.empty()) {
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

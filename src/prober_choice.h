// SPDX-License-Identifier: MIT
// Prober choice: selects the replicas that probe a target reported by balancers.
//
// Several replicas must agree that a target is gone. If all of them probed each reported target, the number of probes would
// be replicas x silent targets, just when a large part of the fleet, such as 14%, loses power at once. Rendezvous hashing
// (Thaler and Ravishankar 1998) selects the same few replicas for a target everywhere, and others only where some of those
// can't be reached.
#pragma once

#include "hash.h"
#include "node_message.h"

#include <algorithm>
#include <map>
#include <span>
#include <vector>

namespace Robinrail {

// The replicas that probe a target: `count` of the reachable ones, in different data centres as far as possible, because
// the replicas of one data centre lose their connectivity together.
inline std::vector<ReplicaId> chooseProbers(TargetKey target, std::span<const ReplicaLocation> reachable, std::size_t count)
{
    std::vector<ReplicaLocation> ranked(reachable.begin(), reachable.end());
    std::sort(ranked.begin(), ranked.end(), [target](const ReplicaLocation &one, const ReplicaLocation &other) {
        const auto rank = [target](const ReplicaLocation &place) {
            return std::pair(hashPair(value(target), value(place.replica)), value(place.replica));
        };
        return rank(one) > rank(other);
    });
    std::map<DataCentreId, std::size_t> rankInDataCentre;
    std::vector<std::pair<std::size_t, ReplicaId>> byRank; // Rank within its own data centre, replica.
    byRank.reserve(ranked.size());
    for (const ReplicaLocation &place : ranked) {
        byRank.emplace_back(rankInDataCentre[place.dataCentre]++, place.replica);
    }
    std::stable_sort(byRank.begin(), byRank.end(), [](const auto &one, const auto &other) {
        return one.first < other.first;
    });
    std::vector<ReplicaId> chosen;
    for (std::size_t i = 0; i < std::min(count, byRank.size()); ++i) {
        chosen.push_back(byRank[i].second);
    }
    return chosen;
}

} // namespace Robinrail

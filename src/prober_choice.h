// SPDX-License-Identifier: MIT
// Prober choice: which replicas probe a target that balancers report.
//
// The pattern that it answers: several replicas must agree that a target is gone, and if each of them probes each reported
// target, probes grow with replicas x silent targets, when 14% of a fleet loses power at once. Rendezvous hashing
// (Thaler and Ravishankar 1998) names the same few for a target everywhere, and others only where those are not reached.
#pragma once

#include "hash.h"
#include "node_message.h"

#include <algorithm>
#include <map>
#include <span>
#include <vector>

namespace Robinrail {

// The replicas that probe a target: `count` of those that can be reached, of different data centres as far as there are
// any, since those of one are cut off together.
inline std::vector<ReplicaId> chooseProbers(TargetKey target, std::span<const ReplicaLocation> reachable, std::size_t count)
{
    std::vector<ReplicaLocation> ranked(reachable.begin(), reachable.end());
    std::sort(ranked.begin(), ranked.end(), [target](const ReplicaLocation &one, const ReplicaLocation &other) {
        const auto rank = [target](const ReplicaLocation &place) {
            return std::pair(hashPair(value(target), value(place.replica)), value(place.replica));
        };
        return rank(one) > rank(other);
    });
    std::map<DataCentreId, std::size_t> taken;
    std::vector<std::pair<std::size_t, ReplicaId>> rounds; // In which round through the data centres it has its turn.
    rounds.reserve(ranked.size());
    for (const ReplicaLocation &place : ranked) {
        rounds.emplace_back(taken[place.dataCentre]++, place.replica);
    }
    std::stable_sort(rounds.begin(), rounds.end(), [](const auto &one, const auto &other) {
        return one.first < other.first;
    });
    std::vector<ReplicaId> chosen;
    for (std::size_t i = 0; i < std::min(count, rounds.size()); ++i) {
        chosen.push_back(rounds[i].second);
    }
    return chosen;
}

} // namespace Robinrail

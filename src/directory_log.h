// SPDX-License-Identifier: MIT
// Directory log: in which order the targets of a replica's directory changed, for balancers that follow it.
//
// The pattern that it answers: targets change a hundred times a second, and hundreds of balancers must hear of it, some
// of them slowly, some after an absence. Each change moves its target to the end of the log under a new number, so a
// follower is one number, a target stands in the log once, and whoever lags gets each target once however often it
// changed. Memory grows with the directory, never with the followers' lag. Kin: compacted topics of Kafka, watches by
// revision of etcd.
#pragma once

#include "target_record.h"

#include <boost/unordered/unordered_flat_map.hpp>

#include <map>
#include <vector>

namespace Robinrail {

// Part of a log: targets in the order of their changes. Whoever holds all up to the number before it holds all up to
// `upTo` with it.
struct DirectoryLogSlice {
    std::uint64_t upTo = 0;
    std::vector<TargetKey> keys;
};

class DirectoryLog
{
public:
    // `life` tells the numbers of this log from those of any other; not 0.
    explicit DirectoryLog(std::uint64_t life);

    // Followers must hear of this target.
    void changed(TargetKey key);

    // The directory no longer holds this target.
    void forget(TargetKey key);

    std::uint64_t life() const;

    // Number of the last change; 0 if there was none.
    std::uint64_t newest() const;

    // Where a follower goes on that has all changes of a log's life up to a number: there, or at 0 if this log can't tell
    // it all that it missed.
    std::uint64_t resume(std::uint64_t life, std::uint64_t after) const;

    // Whether all changes after a number can still be told: no target that changed since was forgotten.
    bool isCompleteAfter(std::uint64_t number) const;

    // What changed after a number, at most so many targets.
    DirectoryLogSlice after(std::uint64_t number, std::size_t most) const;

private:
    std::uint64_t m_life;
    std::uint64_t m_newest = 0;
    std::uint64_t m_forgotten = 0; // The highest number of a target that was forgotten.
    std::map<std::uint64_t, TargetKey> m_order;
    boost::unordered_flat_map<std::uint64_t, std::uint64_t> m_numbers; // By key: its number in m_order.
};

} // namespace Robinrail

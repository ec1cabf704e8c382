// SPDX-License-Identifier: MIT
// Directory log: a compacted log of the changes to a replica's directory, for the balancers that follow it.
//
// Targets change about a hundred times per second, and hundreds of balancers must be informed, some over slow links and some
// after a disconnection. Each change moves its target to the end of the log under a new number. The state of a follower is
// therefore one number, each target is in the log once, and a lagging follower receives each target once, however often it
// changed. Memory is bounded by the directory, not by the followers' lag. Related: compacted topics of Kafka, watches by
// revision of etcd.
#pragma once

#include "target_record.h"

#include <boost/unordered/unordered_flat_map.hpp>

#include <map>
#include <vector>

namespace Robinrail {

// Part of a log: targets in the order of their changes. A follower that has all changes before the slice has all changes
// up to `upTo` after applying it.
struct DirectoryLogSlice {
    std::uint64_t upTo = 0;
    std::vector<TargetKey> keys;
};

class DirectoryLog
{
public:
    // `life` identifies this run of the log: numbers of another run are not comparable. Not 0.
    explicit DirectoryLog(std::uint64_t life);

    // The target changed; followers must be informed.
    void changed(TargetKey key);

    // The target was removed from the directory.
    void forget(TargetKey key);

    std::uint64_t life() const;

    // Number of the last change; 0 if there is none.
    std::uint64_t newest() const;

    // The number from which a follower continues that has all changes of run `life` up to `after`: that number, or 0 if
    // this log no longer has all changes that it missed.
    std::uint64_t resume(std::uint64_t life, std::uint64_t after) const;

    // Whether the log has all changes after a number: no target that changed since then was removed.
    bool isCompleteAfter(std::uint64_t number) const;

    // The changes after a number, at most `limit` targets.
    DirectoryLogSlice after(std::uint64_t number, std::size_t limit) const;

private:
    std::uint64_t m_life;
    std::uint64_t m_newest = 0;
    std::uint64_t m_forgotten = 0; // The highest number of a target that was removed.
    std::map<std::uint64_t, TargetKey> m_order;
    boost::unordered_flat_map<std::uint64_t, std::uint64_t> m_numbers; // Number in m_order by key.
};

} // namespace Robinrail

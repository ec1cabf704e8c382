// SPDX-License-Identifier: MIT
// Target directory: a replica's soft state of all targets. Announcements reach one replica, which passes
// changes on to all others and to every balancer; sequence and lifetime order them, no log is needed.
#pragma once

#include "directory_digest.h"
#include "heard_targets.h"
#include "target_record.h"

#include <map>
#include <optional>
#include <span>
#include <vector>

namespace Robinrail {

// A target that left is remembered this long, so that its flows' packets are still told from unknown ones
// and no late announcement revives it. The longest life of a flow, 60 s, and some slack.
inline constexpr Duration LeftTargetRetention = std::chrono::seconds(75);

// A target that nobody heard for this long is forgotten.
inline constexpr Duration SilentTargetRetention = std::chrono::seconds(120);

// A warm-up that ends later than the known one by less is the same one, heard of with another delay. A quarter of the
// shortest warm-up that targets have, 2 s.
inline constexpr Duration WarmupSlack = std::chrono::milliseconds(500);

// Most targets that are kept; an announcement beyond that is refused.
inline constexpr std::size_t MaxDirectoryTargets = 100'000;

class TargetDirectory
{
public:
    // Targets announce themselves once in `announceInterval`, and count as silent after `silenceLimit` without an
    // announcement at any replica.
    TargetDirectory(Duration announceInterval, Duration silenceLimit);

    // Takes what a target announced here. Returns the news to pass on: the target's own, and the end of
    // older ones that were at its address and missed their turn.
    std::vector<TargetStatus> announce(TimePoint now, const TargetRecord &record);

    // Takes another replica's news. Returns the news to pass on to balancers, if any.
    std::optional<TargetStatus> take(TimePoint now, const TargetStatus &news);

    // Ends a lifetime, or whichever is held if `born` is 0; the news to pass on, if it is known and not over by a later one.
    std::optional<TargetStatus> leave(TimePoint now, TargetKey key, std::uint64_t born = 0);

    // Another replica heard these targets just now. Returns targets that are silent no longer.
    std::vector<TargetStatus> heard(TimePoint now, std::span<const TargetKey> keys);

    // A target that was taken for heard was heard last so long ago.
    void missed(TimePoint now, const ExpiredLease &target);

    // Finds targets that fell silent, and forgets old ones.
    std::vector<TargetStatus> tick(TimePoint now);

    // Whether a target that is held has not announced itself anywhere for half of the time after which it counts as silent:
    // longer than between two announcements, and than word of them takes from another replica.
    bool isOverdue(TimePoint now, TargetKey key) const;

    // The targets that announced themselves here since the last call.
    std::vector<TargetKey> takeAnnouncedHere();

    // The targets that were forgotten since the last call.
    std::vector<TargetKey> takeForgotten();

    // Hashes of all parts of the directory, so many in all; and the targets of those that are asked for.
    std::vector<std::uint32_t> digest(std::size_t buckets) const;
    std::vector<TargetKey> keysIn(const DirectoryQuery &query) const;

    std::vector<TargetStatus> all(TimePoint now) const;
    std::optional<TargetStatus> status(TimePoint now, TargetKey key) const;
    const TargetRecord *find(TargetKey key) const;
    std::size_t size() const;

private:
    struct Entry {
        TargetRecord record;
        TimePoint heard;
        TimePoint firstHeard; // By any replica.
        bool silent = false;
    };
    bool isOverdue(TimePoint now, const Entry &entry) const;
    std::vector<TargetStatus> endOlderLifetimes(TimePoint now, const TargetRecord &record);
    TimePoint firstHeard(TimePoint now, const TargetRecord &record) const;
    TargetStatus beginLifetime(TimePoint now, Entry &entry, const TargetStatus &news);
    static bool restartsWarmup(const TargetStatus &news, const Entry &entry, TimePoint now);
    void setRecord(Entry &entry, const TargetRecord &record);
    void unindex(const TargetRecord &record);
    TargetStatus newsOf(const Entry &entry, TimePoint now) const;

    Duration m_announceInterval;
    Duration m_silenceLimit;
    std::map<TargetKey, Entry> m_entries;
    std::multimap<Endpoint, TargetKey> m_addresses; // Of all entries.
    std::vector<TargetKey> m_announcedHere;
    std::vector<TargetKey> m_forgotten;
};

} // namespace Robinrail

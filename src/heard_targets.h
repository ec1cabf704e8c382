// SPDX-License-Identifier: MIT
// Heard targets: which targets a replica hears, as it tells the other replicas, and what it is told by them.
//
// The pattern that it answers: a target announces itself at one replica and must not count as silent at the others. To tell
// them each time grows with targets x replicas whether or not anything happens. A replica therefore vouches for
// those that it hears: it tells who came and who was missed, and a beat renews its word on all the others. Its own silence
// ends that word, as with any lease.
#pragma once

#include "target_record.h"

#include <map>
#include <span>
#include <vector>

namespace Robinrail {

// A target that is vouched for no more, and when it was heard last.
struct ExpiredLease {
    TargetKey key{};
    Duration age{};

    auto fields()
    {
        return std::tie(key, age);
    }
};

// A beat: the sender still hears all targets that it named on this link, but for those missed. The first beat on a link
// names all.
struct TargetLeaseUpdate {
    std::vector<TargetKey> heard;
    std::vector<ExpiredLease> missed;

    auto fields()
    {
        return std::tie(heard, missed);
    }
};

// The targets that this replica hears.
class LocalTargetLeases
{
public:
    // A target is vouched for until it was not heard for `lease`.
    explicit LocalTargetLeases(Duration lease);

    void heard(TimePoint now, TargetKey key);

    // What the others don't know yet: who came and who was missed since the last call.
    TargetLeaseUpdate changes(TimePoint now);

    // All that were vouched for at the last call of changes(), for a link on which nothing was told.
    TargetLeaseUpdate whole() const;

    bool holdsLease(TargetKey key) const;

private:
    struct Heard {
        TimePoint at;
        bool told = false;
    };

    Duration m_lease;
    std::map<TargetKey, Heard> m_heard;
};

// The targets that other replicas hear, by the links on which they say so.
class PeerTargetLeases
{
public:
    // Takes a beat; all targets that the sender vouches for with it.
    std::span<const TargetKey> take(std::uint64_t link, const TargetLeaseUpdate &beat);

    // The link is gone, and the word that was given on it.
    void closed(std::uint64_t link);

    // Whether any of them vouches for a target.
    bool holdsLease(TargetKey key) const;

private:
    std::map<std::uint64_t, std::vector<TargetKey>> m_links; // Sorted.
};

} // namespace Robinrail

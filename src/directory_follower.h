// SPDX-License-Identifier: MIT
// Directory follower: a balancer's side of the directories that it follows; takes their pages in order and asks for
// what it missed. DirectoryPublisher is the other side.
#pragma once

#include "node_message.h"
#include "steering_targets.h"

#include <map>
#include <set>

namespace Robinrail {

// What came of a page.
enum class PageResult : std::uint8_t {
    Applied,
    Completed, // And with it all that the replica knows is known here.
    Gap, // It does not follow what was taken before: ask anew with request().
    Malformed, // It contradicts itself.
};

class DirectoryFollower
{
public:
    // Pages go into `targets`, which must outlive this.
    explicit DirectoryFollower(SteeringTargets &targets);

    // What to ask this replica for: what follows the pages taken, or all.
    FollowDirectory request(ReplicaId replica) const;

    PageResult take(TimePoint now, ReplicaId replica, const DirectoryPage &page);

    // The link to a replica is gone. What it told is kept, so that it need only tell the difference later.
    void lost(ReplicaId replica);

    // This replica is followed no more.
    void forget(ReplicaId replica);

private:
    struct Progress {
        std::uint64_t life = 0;
        std::uint64_t number = 0; // All changes up to this one were taken.
        bool listing = false; // The whole directory is coming; so far these came:
        std::set<TargetKey> listed;
    };

    SteeringTargets &m_targets;
    std::map<ReplicaId, Progress> m_progress;
};

} // namespace Robinrail

// SPDX-License-Identifier: MIT
// Directory follower: the balancer's side of following a directory. Applies its pages in order and requests the changes
// that were missed. DirectoryPublisher is the replica's side.
#pragma once

#include "node_message.h"
#include "steering_targets.h"

#include <map>
#include <set>

namespace Robinrail {

// The result of applying a page.
enum class PageResult : std::uint8_t {
    Applied,
    Completed, // Applied, and everything that the replica knows is now known here.
    Gap, // Does not follow the last page that was applied: send another request().
    Malformed, // Inconsistent.
};

class DirectoryFollower
{
public:
    // Applies pages to `targets`, which must outlive this.
    explicit DirectoryFollower(SteeringTargets &targets);

    // The request for a replica: the changes after the last page that was applied, or everything.
    FollowDirectory request(ReplicaId replica) const;

    PageResult apply(TimePoint now, ReplicaId replica, const DirectoryPage &page);

    // The link to a replica was lost. Its state is kept, so that only the difference need be sent later.
    void lost(ReplicaId replica);

    // The replica is no longer followed.
    void forget(ReplicaId replica);

private:
    struct Progress {
        std::uint64_t life = 0;
        std::uint64_t number = 0; // All changes up to this one were applied.
        bool listing = false; // The whole directory is being received.
        std::set<TargetKey> listed; // Received so far while listing.
    };

    SteeringTargets &m_targets;
    std::map<ReplicaId, Progress> m_progress;
};

} // namespace Robinrail

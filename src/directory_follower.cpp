// SPDX-License-Identifier: MIT
// Directory follower: implementation.
#include "directory_follower.h"

#include <algorithm>
#include <utility>

namespace Robinrail {

namespace {

bool isValid(const DirectoryPage &page)
{
    return page.life != 0 && page.upTo >= page.after && std::all_of(page.targets.begin(), page.targets.end(), [&page](const DirectoryPageEntry &target) {
               return target.service < page.services.size();
           });
}

TargetStatus statusOf(const DirectoryPageEntry &listed, const std::vector<std::string> &services)
{
    TargetStatus status;
    status.record.key = listed.key;
    status.record.service = services[listed.service];
    status.record.address = listed.address;
    status.record.dataCentre = listed.dataCentre;
    status.record.slots = listed.slots;
    status.record.phase = listed.phase;
    status.record.warmupLeft = std::chrono::milliseconds(listed.warmupMs);
    status.record.sequence = listed.sequence;
    status.record.born = listed.born;
    status.silent = listed.silent;
    return status;
}

} // namespace

DirectoryFollower::DirectoryFollower(SteeringTargets &targets)
    : m_targets(targets)
{
}

FollowDirectory DirectoryFollower::request(ReplicaId replica) const
{
    const auto at = m_progress.find(replica);
    // An interrupted transfer says nothing about the targets that were not received yet.
    const bool resumable = at != m_progress.end() && !at->second.listing;
    return resumable ? FollowDirectory{at->second.life, at->second.number} : FollowDirectory{};
}

PageResult DirectoryFollower::apply(TimePoint now, ReplicaId replica, const DirectoryPage &page)
{
    if (!isValid(page)) {
        return PageResult::Malformed;
    }
    Progress &progress = m_progress[replica];
    if (page.after == 0) {
        progress = {page.life, 0, true, {}};
    } else if (page.life != progress.life || page.after != progress.number) {
        m_progress.erase(replica);
        return PageResult::Gap;
    }
    for (const DirectoryPageEntry &listed : page.targets) {
        m_targets.take(now, replica, statusOf(listed, page.services));
        if (progress.listing) {
            progress.listed.insert(listed.key);
        }
    }
    progress.number = page.upTo;
    if (page.last && std::exchange(progress.listing, false)) {
        m_targets.withdrawReportsExcept(replica, std::exchange(progress.listed, {}));
    }
    return page.last && page.informed ? PageResult::Completed : PageResult::Applied;
}

void DirectoryFollower::lost(ReplicaId replica)
{
    if (const auto at = m_progress.find(replica); at != m_progress.end() && at->second.listing) {
        m_progress.erase(at);
    }
}

void DirectoryFollower::forget(ReplicaId replica)
{
    m_progress.erase(replica);
    m_targets.dropReplicaReports(replica, true);
}

} // namespace Robinrail

// SPDX-License-Identifier: MIT
// Target leases: a replica grants leases on the liveness of the targets that announce themselves to it, and shares these
// leases with the other replicas.
//
// A target announces itself at one replica and must not count as silent at the others. Forwarding every announcement would
// cost targets x replicas messages even when nothing changes. A replica therefore sends only which leases were added and
// which expired; its periodic heartbeat renews all the others. If the replica itself goes silent, its leases lapse.
#pragma once

#include "target_record.h"

#include <map>
#include <span>
#include <vector>

namespace Robinrail {

// A lease that expired, and the time since the target's last announcement.
struct ExpiredLease {
    TargetKey key{};
    Duration age{};

    auto fields()
    {
        return std::tie(key, age);
    }
};

// A heartbeat: renews the leases on all targets that the sender has added on this link, except for those that expired. The
// first heartbeat on a link adds all leases of the sender.
struct TargetLeaseUpdate {
    std::vector<TargetKey> added;
    std::vector<ExpiredLease> expired;

    auto fields()
    {
        return std::tie(added, expired);
    }
};

// The leases on targets that announce themselves to this replica.
class LocalTargetLeases
{
public:
    // A lease expires when the target has not announced itself for `duration`.
    explicit LocalTargetLeases(Duration duration);

    // The target announced itself.
    void renew(TimePoint now, TargetKey key);

    // This process did not run for `pause`, so that announcements of that time were missed: leases last as much longer.
    void discountPause(TimePoint now, Duration pause);

    // The leases that were added and that expired since the last call.
    TargetLeaseUpdate takeChanges(TimePoint now);

    // All leases that takeChanges() has returned and that are still held, for the first heartbeat on a link.
    TargetLeaseUpdate snapshot() const;

    bool holdsLease(TargetKey key) const;

private:
    struct Lease {
        TimePoint renewedAt;
        bool sent = false; // Returned by takeChanges().
    };

    Duration m_duration;
    std::map<TargetKey, Lease> m_leases;
};

// The leases held by other replicas, by the link on which they were received.
class PeerTargetLeases
{
public:
    // Applies a heartbeat. Returns all targets on which the sender now holds a lease, sorted.
    std::span<const TargetKey> apply(std::uint64_t link, const TargetLeaseUpdate &update);

    // The link was lost; the leases received on it lapse.
    void closed(std::uint64_t link);

    // Whether any of these replicas holds a lease on the target.
    bool holdsLease(TargetKey key) const;

private:
    std::map<std::uint64_t, std::vector<TargetKey>> m_links; // Sorted.
};

} // namespace Robinrail

// SPDX-License-Identifier: MIT
// Gossip: heartbeats between balancers, which also carry updates on targets.
#pragma once

#include "balancer_context.h"

namespace Robinrail {

// The announcement of a target that joined or drains is sent to every peer at once, and again in this many heartbeats.
inline constexpr int ChangeRepeats = 3;

// A target's renewal is forwarded to RenewalFanOut peers when it is this much newer than the last forwarded one.
// Four rounds fit into a lease, and a round with fan-out 3 misses a given peer in about 6 of 100 cases.
inline constexpr Duration MinRenewalAdvance = TargetLease / 4;
inline constexpr int RenewalFanOut = 3;

// Interval, in heartbeats, at which one full announcement is included.
inline constexpr std::uint64_t AntiEntropyHeartbeats = 2;

// Maximum number of full announcements in one heartbeat; the rest is sent in further ones.
inline constexpr std::size_t MaxAnnouncementsPerHeartbeat = 10;

// Maximum number of renewals in one heartbeat.
inline constexpr std::size_t MaxRenewalsPerHeartbeat = 40;

// Sends state changes to all peers and renewals to a few at a time (push gossip, Demers et al. 1987), so that an
// idle balancer sends less than 1 KB/s, independent of the number of targets that announce to it.
class Gossip
{
public:
    explicit Gossip(BalancerContext &context);

    // Processes an announcement that a target sent to this balancer.
    AnnouncementEffect announce(TimePoint now, const Announcement &announcement);

    // Processes a heartbeat; returns its effect, and the targets that it made join, recover or drain.
    struct HeartbeatResult {
        HeartbeatEffect effect = HeartbeatEffect::Stale;
        std::vector<TargetId> drained;
        std::vector<TargetId> joined;
    };
    HeartbeatResult receive(TimePoint now, const Heartbeat &heartbeat);

    // Sends heartbeats when they are due.
    void tick(TimePoint now);

    // Sends a heartbeat to every peer now.
    void sendHeartbeats(TimePoint now);

    // Sets the balancer that took over the flows of this one; every further heartbeat announces it.
    void setSuccessor(BalancerKey successor);

private:
    struct PendingChange {
        TargetId target{};
        int repeats = 0;
    };
    // The last forwarded renewal of a target.
    struct ForwardedRenewal {
        Incarnation incarnation{};
        TimePoint heard;
    };
    Heartbeat makeHeader() const;
    GossipedAnnouncement makeNews(TimePoint now, const Target &target) const;
    void broadcastChange(TimePoint now, TargetId target);
    void sendAllTargets(TimePoint now, const Peer &peer);
    std::vector<TargetRenewal> takeRenewals(TimePoint now);
    TargetRenewal renewalOf(TimePoint now, const Target &target) const;
    std::vector<BalancerId> takeGossipPeers();

    BalancerContext &m_context;
    std::uint64_t m_counter = 0;
    TimePoint m_nextHeartbeat;
    std::vector<PendingChange> m_pendingChanges;
    std::optional<BalancerKey> m_successor;
    std::size_t m_nextGossipPeer = 0;
    std::size_t m_nextAntiEntropy = 0;
    std::size_t m_nextRenewal = 0;
    boost::unordered_flat_map<std::uint32_t, ForwardedRenewal> m_forwardedRenewals; // Keyed by target.
};

} // namespace Robinrail

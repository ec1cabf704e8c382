// SPDX-License-Identifier: MIT
// Gossip: heartbeats between balancers, and the news of targets that ride on them.
#pragma once

#include "balancer_context.h"

namespace Robinrail {

// News of a target that joined or drains goes to every peer at once and in this many heartbeats more.
inline constexpr int NewsRepeats = 3;

// A target's renewal is passed on when it is this much newer than the last one that was, to this many peers.
// Four rounds fit into a lease, and a round of fan-out 3 misses a peer in about 6 of 100 cases.
inline constexpr Duration RenewalGap = TargetLease / 4;
inline constexpr int RenewalFanOut = 3;

// Every so many heartbeats one full announcement goes along.
inline constexpr std::uint64_t AntiEntropyInterval = 2;

// Most full announcements in one heartbeat; the rest follows in further ones.
inline constexpr std::size_t MaxNewsPerHeartbeat = 10;

// Most renewals in one heartbeat.
inline constexpr std::size_t MaxRenewalsPerHeartbeat = 40;

// Changes go to all peers, renewals to a few at a time (push gossip, Demers et al. 1987), so that an
// idle balancer spends less than 1 KB/s whatever the number of targets it hears itself.
class Gossip
{
public:
    explicit Gossip(BalancerContext &context);

    // Takes an announcement that a target sent to this balancer.
    AnnouncementEffect announce(TimePoint now, const Announcement &announcement);

    // Takes a heartbeat; answers targets that joined, drained or came back by it.
    struct Reception {
        HeartbeatEffect effect = HeartbeatEffect::Stale;
        std::vector<TargetId> drained;
        std::vector<TargetId> joined;
    };
    Reception receive(TimePoint now, const Heartbeat &heartbeat);

    // Sends heartbeats when they are due.
    void tick(TimePoint now);

    // Sends a heartbeat to every peer now.
    void beat(TimePoint now);

    // Names the balancer that has the flows of this one; it goes out with every further heartbeat.
    void setSuccessor(BalancerKey successor);

private:
    struct News {
        TargetId target{};
        int repeats = 0;
    };
    // The newest renewal of a target that was passed on.
    struct Renewed {
        Incarnation incarnation{};
        TimePoint heard;
    };
    Heartbeat header() const;
    GossipedAnnouncement newsOf(TimePoint now, const Target &target) const;
    void spread(TimePoint now, TargetId target);
    void sendAllNews(TimePoint now, const Peer &peer);
    std::vector<TargetRenewal> takeRenewals(TimePoint now);
    TargetRenewal renewalOf(TimePoint now, const Target &target) const;
    std::vector<BalancerId> nextGossipPeers();

    BalancerContext &m_context;
    std::uint64_t m_counter = 0;
    TimePoint m_nextBeat;
    std::vector<News> m_news;
    std::optional<BalancerKey> m_successor;
    std::size_t m_gossipTurn = 0;
    std::size_t m_rotation = 0;
    std::size_t m_renewalTurn = 0;
    boost::unordered_flat_map<std::uint32_t, Renewed> m_renewed; // By target.
};

} // namespace Robinrail

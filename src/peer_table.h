// SPDX-License-Identifier: MIT
// Peer table: liveness and shutdown state of the other balancers, and redirects to the successors of stopped ones.
#pragma once

#include "message.h"

#include <boost/unordered/unordered_flat_map.hpp>
#include <span>

namespace Robinrail {

// Interval between heartbeats. Relayed packets count as proof of liveness too.
inline constexpr Duration HeartbeatInterval = std::chrono::milliseconds(500);

// Four heartbeats: with 10% packet loss, a live peer is falsely suspected once in 10,000 intervals.
inline constexpr Duration PeerTimeout = HeartbeatInterval * 4;

// Maximum number of redirects followed from a stopped owner to the current owner of its flows.
inline constexpr int MaxRedirects = 16;

// Listening address of a peer, from the settings.
struct PeerAddress {
    BalancerId id{};
    Endpoint endpoint;
};

// State of one peer.
struct Peer {
    BalancerId id{};
    Endpoint endpoint;
    DataCentreId dataCentre{};
    Incarnation incarnation{}; // 0 until the first heartbeat.
    std::uint64_t counter = 0; // Of the newest heartbeat in this incarnation.
    TimePoint lastHeard;
    bool alive = false;
    bool stopping = false;
    std::uint64_t bundleVersion = 0;
    boost::unordered_flat_map<std::uint16_t, std::uint16_t> freeSlots; // Keyed by service; a hint from the last relayed packet.

    BalancerKey key() const
    {
        return {id, incarnation};
    }
};

// Effect of a heartbeat.
enum class HeartbeatEffect : std::uint8_t {
    Stale,
    Alive,
    Joined, // First heartbeat of an incarnation, or a suspected peer that recovered.
    Stopping,
};

// Failure detector based on heartbeats. A false suspicion cannot violate at-most-once execution: it only affects where
// packets are routed, while the owner named in a connection id remains the only balancer that may run a request.
class PeerTable
{
public:
    PeerTable(BalancerKey self, DataCentreId dataCentre, std::span<const PeerAddress> peers);

    HeartbeatEffect heartbeat(TimePoint now, const Heartbeat &heartbeat);

    // Records proof of liveness other than a heartbeat.
    void recordAlive(TimePoint now, BalancerKey key);

    // Marks peers that timed out as gone; returns their keys.
    std::vector<BalancerKey> expire(TimePoint now);

    // Records that `to` took over all flows of `from`.
    void redirect(BalancerKey from, BalancerKey to);

    // Balancer incarnation that has the flows of `owner` now, possibly this balancer itself; empty if it is gone.
    std::optional<BalancerKey> resolve(BalancerKey owner) const;

    Peer *find(BalancerId id);
    const Peer *find(BalancerId id) const;
    std::span<Peer> peers();
    std::span<const Peer> peers() const;

    // Balancers that accept new work, ordered by id; includes this one unless it is stopping.
    struct Member {
        BalancerId id{};
        DataCentreId dataCentre{};
    };
    std::vector<Member> members() const;

    // Live peer that takes over the flows of this balancer, chosen by rendezvous hashing.
    std::optional<BalancerKey> chooseSuccessor() const;

    void setStopping();
    bool stopping() const;
    BalancerKey self() const;
    DataCentreId dataCentre() const;

    // Incremented whenever members() may have changed.
    std::uint64_t version() const;

private:
    struct Redirect {
        BalancerKey from;
        BalancerKey to;
    };
    const Redirect *redirectOf(BalancerKey from) const;

    BalancerKey m_self;
    DataCentreId m_dataCentre;
    bool m_stopping = false;
    std::vector<Peer> m_peers;
    std::vector<Redirect> m_redirects;
    std::uint64_t m_version = 1;
};

} // namespace Robinrail

// SPDX-License-Identifier: MIT
// Peer table: which balancers are alive, which stop, and who took over from whom.
#pragma once

#include "message.h"

#include <boost/unordered/unordered_flat_map.hpp>
#include <span>

namespace Robinrail {

// A balancer says that it is alive this often. Relayed packets count as signs of life too.
inline constexpr Duration HeartbeatInterval = std::chrono::milliseconds(500);

// Four heartbeats: with a tenth of the packets lost, a live peer is suspected once in 10,000 intervals.
inline constexpr Duration PeerTimeout = HeartbeatInterval * 4;

// Most redirects that are followed from a stopped owner to the one that has its flows now.
inline constexpr int MaxRedirects = 16;

// Where a peer listens, from the settings.
struct PeerAddress {
    BalancerId id{};
    Endpoint endpoint;
};

// What is known of one peer.
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
    boost::unordered_flat_map<std::uint16_t, std::uint16_t> freeSlots; // By service; a hint from the last relay.

    BalancerKey key() const
    {
        return {id, incarnation};
    }
};

// What a heartbeat changed.
enum class HeartbeatEffect : std::uint8_t {
    Stale,
    Alive,
    Joined, // First heartbeat of an incarnation, or a suspected peer that is back.
    Stopping,
};

// A failure detector by heartbeats. Suspicion never endangers a promise: it only decides where
// packets go, while the owner named in a connection id stays the only one that may run a request.
class PeerTable
{
public:
    PeerTable(BalancerKey self, DataCentreId dataCentre, std::span<const PeerAddress> peers);

    HeartbeatEffect heartbeat(TimePoint now, const Heartbeat &heartbeat);

    // A sign of life other than a heartbeat.
    void recordAlive(TimePoint now, BalancerKey key);

    // Marks silent peers as gone; answers their keys as they were.
    std::vector<BalancerKey> expire(TimePoint now);

    // Notes that all flows of `from` are at `to` now.
    void redirect(BalancerKey from, BalancerKey to);

    // The balancer run that has the flows of `owner` now; empty if it is gone.
    // May answer this balancer itself.
    std::optional<BalancerKey> resolve(BalancerKey owner) const;

    Peer *find(BalancerId id);
    const Peer *find(BalancerId id) const;
    std::span<Peer> peers();
    std::span<const Peer> peers() const;

    // Balancers that may be given new work, this one included unless it stops, in order of their id.
    struct Member {
        BalancerId id{};
        DataCentreId dataCentre{};
    };
    std::vector<Member> members() const;

    // The live peer that inherits the flows of this balancer, by rendezvous hashing.
    std::optional<BalancerKey> chooseSuccessor() const;

    void setStopping();
    bool stopping() const;
    BalancerKey self() const;
    DataCentreId dataCentre() const;

    // Changes whenever members() may have changed.
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

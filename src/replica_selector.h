// SPDX-License-Identifier: MIT
// Replica selector: which replicas a balancer keeps links to, and whose target directory it follows.
//
// With a full mesh, the number of links, pings and directory updates grows with the product of balancers and replicas, and
// four fifths of the bytes cross between data centres. A balancer therefore follows one replica, preferably of its own data
// centre. It looks for another one while that one is unreachable or without a quorum, as it may then miss what the others
// acknowledge. After a power failure of the whole deployment it dials one more replica each 50 ms, so that the first one
// that is up informs it; a balancer that starts alone costs the replicas one handshake.
#pragma once

#include "node_message.h"

#include <map>
#include <optional>
#include <set>
#include <span>

namespace Robinrail {

// A replica is healthy if it confirmed its contact with a quorum within this time; it does so every 500 ms.
inline constexpr Duration HealthTimeout = std::chrono::milliseconds(1200);

// While no healthy replica is followed, one more is dialled at this interval: ten times the set-up time of a link.
inline constexpr Duration CandidateInterval = std::chrono::milliseconds(50);

// How long to wait for the handshake of a replica that accepted a connection before another one is dialled. Handshakes are
// slow when hundreds of balancers start at once; without the wait each replica would get the handshakes of all balancers.
inline constexpr Duration HandshakeGrace = std::chrono::milliseconds(250);

// A balancer that knows no targets yet waits this long after its first link came up before it follows a replica other than
// its first choice: twice the set-up time of a link within a data centre after a power failure. The first choice is known
// only once some replica has sent the list of replicas, and transferring a whole directory twice doubles the time that a
// slow link is saturated. A longer wait delays callers by as much if the first choice is unreachable.
inline constexpr Duration FirstChoiceGrace = std::chrono::milliseconds(25);

// How long to wait for a source whose link was lost before another one is dialled: a killed process is back within this
// time, and a failover with failback transfers two whole directories. It is far below the time in which a drain must take
// effect. A source that was silent or without a quorum for HealthTimeout is not waited for any longer.
inline constexpr Duration SourceGrace = std::chrono::milliseconds(500);

// Longest random delay before failback to a preferred replica that is healthy again, so that the balancers of a data centre
// don't all request its whole directory at once.
inline constexpr Duration MaxFailbackDelay = std::chrono::seconds(4);

class ReplicaSelector
{
public:
    // `balancerId` seeds the balancer's own order of replicas, so that balancers spread over the remote ones.
    ReplicaSelector(DataCentreId dataCentre, std::uint64_t balancerId);

    // Sets the replicas to choose from. Seeds that are not among the named ones come last.
    void setReplicas(std::span<const ReplicaLocation> named, std::span<const ReplicaId> seeds);

    // The replica's host accepted a connection; the handshake is still to come.
    void onAccepted(TimePoint now, ReplicaId replica);
    void onLinkUp(TimePoint now, ReplicaId replica);
    void onLinkLost(TimePoint now, ReplicaId replica);

    // The replica reported contact with a quorum.
    void onQuorumConfirmed(TimePoint now, ReplicaId replica);

    // The whole directory of the replica was received.
    void onDirectoryComplete(ReplicaId replica);

    // Chooses the source and the links again. Call it at each tick and after each event.
    void update(TimePoint now);

    // Replicas to keep links to, as of the last update().
    const std::set<ReplicaId> &desiredLinks() const;

    // Replicas whose directories to follow: the source, and its successor until that one's directory is complete.
    std::vector<ReplicaId> followed() const;

    // The replica that decides which targets are alive; empty until the first directory is complete.
    std::optional<ReplicaId> source() const;

private:
    struct State {
        bool linked = false;
        bool completed = false; // Whether its directory is complete, since its link came up.
        bool healthy = false; // At the last update().
        TimePoint confirmedAt{};
        TimePoint failbackAt{}; // No failback to it before this.
    };

    bool healthy(TimePoint now, ReplicaId replica) const;
    void updateHealth(TimePoint now);
    std::optional<ReplicaId> bestHealthy(TimePoint now) const;
    std::optional<ReplicaId> firstWithLink() const;
    std::optional<ReplicaId> afterFirstChoiceGrace(TimePoint now, std::optional<ReplicaId> replica) const;
    bool handshakePending(TimePoint now) const;
    void extendDialRange(TimePoint now);
    bool known(ReplicaId replica) const;
    void updateDesiredLinks();

    DataCentreId m_dataCentre;
    std::uint64_t m_balancerId;
    std::vector<ReplicaId> m_preference; // Most preferred first.
    std::map<ReplicaId, State> m_states;
    std::map<ReplicaId, TimePoint> m_acceptedAt; // When replicas without a link first accepted a connection.
    std::optional<ReplicaId> m_source;
    TimePoint m_sourceGraceEnd{}; // The source's link was lost; no other replica is dialled before this.
    std::optional<ReplicaId> m_nextSource; // Becomes the source once its directory is complete.
    std::size_t m_dialCount = 1; // Number of replicas dialled, from the front of m_preference.
    TimePoint m_dialDue{};
    std::optional<TimePoint> m_firstLinkAt;
    std::set<ReplicaId> m_desiredLinks;
};

} // namespace Robinrail

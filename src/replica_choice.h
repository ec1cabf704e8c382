// SPDX-License-Identifier: MIT
// Replica choice: which replicas a balancer keeps links to, and whose directory it follows.
//
// The pattern that it answers: a link from each balancer to each replica makes links, pings and news grow with the product
// of both, and four fifths of the bytes cross between data centres. So a balancer follows one replica, of its own data
// centre where there is one, and looks further while that one is dark or has lost its quorum, as it may then miss what
// the others acknowledge. After a loss of all power it tries one more replica each 50 ms, so that the first one that is
// up informs it, and one that starts alone costs the replicas one handshake.
#pragma once

#include "node_message.h"

#include <map>
#include <optional>
#include <set>
#include <span>

namespace Robinrail {

// A replica that said within this time that it is in contact with a quorum is healthy; it says so each 500 ms.
inline constexpr Duration HealthyFor = std::chrono::milliseconds(1200);

// While no healthy replica is followed, one more is dialled in this time: ten times what a link takes to come up.
inline constexpr Duration CandidatePause = std::chrono::milliseconds(50);

// A replica that took a connection and is slow to greet, as hundreds of balancers have just started, is waited for as long
// before one more is dialled, as else each replica gets the handshakes of all balancers.
inline constexpr Duration HandshakePatience = std::chrono::milliseconds(250);

// A balancer that knows no targets yet follows a replica that is not its first choice after this, twice what a link in
// the same data centre takes to come up after a loss of all power. The first choice is known only once some replica has
// told where the others are, and a whole directory taken twice keeps a slow link full for as long again. Longer costs
// callers as much where the first choice is dark.
inline constexpr Duration FirstChoicePatience = std::chrono::milliseconds(25);

// A source whose link is lost is waited for as long before another one is looked for: a killed process is back within it,
// and moving away and back again costs two whole directories. Far below the time in which a drain must be known. One that
// has been silent or without a quorum for HealthyFor is not waited for any longer.
inline constexpr Duration SourceGrace = std::chrono::milliseconds(500);

// A better replica that is healthy again is gone back to after a random time up to this, so that it is not asked for its
// whole directory by all balancers of a data centre at once.
inline constexpr Duration MaxReturnDelay = std::chrono::seconds(4);

class ReplicaChoice
{
public:
    // For a balancer in a data centre; `self` tells it from others, which spread over the replicas elsewhere.
    ReplicaChoice(DataCentreId dataCentre, std::uint64_t self);

    // Which replicas there are. Seeds that no replica named come last.
    void know(std::span<const ReplicaLocation> named, std::span<const ReplicaId> seeds);

    // A replica's machine took a connection; its link is up; is lost.
    void answered(TimePoint now, ReplicaId replica);
    void linked(TimePoint now, ReplicaId replica);
    void lost(TimePoint now, ReplicaId replica);

    // A replica said that it is in contact with a quorum; all that it knows has been taken from it.
    void confirmed(TimePoint now, ReplicaId replica);
    void completed(ReplicaId replica);

    // Decides anew.
    void turn(TimePoint now);

    // Replicas to keep links to, as of the last turn.
    const std::set<ReplicaId> &wanted() const;

    // Replicas whose directories to follow: the source, and one that is to take its place once it has told all.
    std::vector<ReplicaId> followed() const;

    // The replica whose word on who is alive holds; empty until one has told all.
    std::optional<ReplicaId> source() const;

private:
    struct State {
        bool linked = false;
        bool completed = false; // Since its link came up.
        bool healthy = false; // At the last turn.
        TimePoint confirmedAt{};
        TimePoint returnAt{}; // Not gone back to before this.
    };

    bool healthy(TimePoint now, ReplicaId replica) const;
    void watchHealth(TimePoint now);
    std::optional<ReplicaId> best(TimePoint now) const;
    std::optional<ReplicaId> firstLinked() const;
    std::optional<ReplicaId> patient(TimePoint now, std::optional<ReplicaId> replica) const;
    bool greetingDue(TimePoint now) const;
    void extendReach(TimePoint now);
    bool known(ReplicaId replica) const;
    void setWanted();

    DataCentreId m_dataCentre;
    std::uint64_t m_self;
    std::vector<ReplicaId> m_order; // Best first.
    std::map<ReplicaId, State> m_states;
    std::map<ReplicaId, TimePoint> m_answered; // Replicas that took a connection, when first; not linked since.
    std::optional<ReplicaId> m_source;
    TimePoint m_sourceAwaited{}; // The source's link was lost, and it may be back before this.
    std::optional<ReplicaId> m_next; // To be the source.
    std::size_t m_reach = 1; // So many of m_order are dialled.
    TimePoint m_reachDue{};
    std::optional<TimePoint> m_firstLink; // When the first link came up.
    std::set<ReplicaId> m_wanted;
};

} // namespace Robinrail

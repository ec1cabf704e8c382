// SPDX-License-Identifier: MIT
// Replica node: a routing replica with its disk and its links. It finds the other replicas through seeds,
// keeps the targets' announcements, and answers typed calls; whoever owns it speaks to the outside.
#pragma once

#include "background_file.h"
#include "log_budget.h"
#include "node_links.h"
#include "reach_watch.h"
#include "replica_driver.h"
#include "routing_state.h"
#include "settings.h"
#include "target_exchange.h"
#include "target_prober.h"
#include "version_watch.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>

namespace Robinrail {

// The replica's clock runs in steps of this, a third of a raft heartbeat.
inline constexpr std::chrono::milliseconds ReplicaTick{25};

// A replica that no leader speaks to asks to be taken in this often.
inline constexpr Duration RejoinInterval = std::chrono::milliseconds(400);

// A voter that was silent for this long gives its vote to a spare. Above the pause of an election, below the
// time after which a second loss must be borne (4 s on the smallest deployment).
inline constexpr Duration VoterLostAfter = std::chrono::milliseconds(1500);

// Replicas tell each other this often whom they heard, and all linked nodes which version is in force.
inline constexpr Duration ReplicaBeatInterval = std::chrono::milliseconds(500);

// Balancers are told where replicas are this often at most.
inline constexpr Duration ReplicaListInterval = std::chrono::milliseconds(100);

// A disk that refused a write is tried again this often.
inline constexpr Duration StorageRetry = std::chrono::milliseconds(500);

// How a call ended.
enum class ReplicaAnswer : std::uint8_t {
    Done,
    Elsewhere, // Ask the leader.
    Unavailable, // Ask again, or another replica; a change may or may not have been made.
};

class ReplicaNode
{
public:
    using Respond = std::function<void(ReplicaAnswer)>;

    // `file` must have a data folder.
    ReplicaNode(boost::asio::io_context &io, SteeringSettings file);

    // Binds and begins; false if the address can't be bound.
    bool start();

    // Takes changed settings; only the seeds can change while it runs.
    void reload(const SteeringSettings &file);

    // The process is about to end: says so, and what passed over the links.
    void beginStop();

    // A target announced itself. Done: it is known, and if it drains, no borne loss can undo that.
    void announce(const TargetRecord &record, Respond respond);

    // A target's lifetime ends, whichever is held if `born` is 0. The same promise.
    void leave(TargetKey key, std::uint64_t born, Respond respond);

    // A document that was checked. Done: it or a higher version is in force for good.
    void submit(const RoutingDocument &document, Respond respond);

    // An order to drain a data centre or to take it back. Done: it is in force for good, or until the opposite order.
    void submit(const DataCentreOrder &order, Respond respond);

    // A linearizable read: when it is Done, document() is the newest.
    void read(Respond respond);

    // A call from outside was refused before it came here, for this reason.
    void countRefused(std::string_view call, std::string_view reason);

    // Where this target should make its announcements from now on: one replica for each, so that it keeps one
    // connection, in its own data centre if one there can be reached. Empty: wherever it likes.
    std::optional<Endpoint> announceAt(const TargetRecord &record) const;

    const RoutingDocument &document() const;
    const DataCentreDrains &drains() const;
    const SteeringSettings &settings() const;

    // Where the leader takes calls; port 0 if it is not known.
    Endpoint leaderAdmin() const;

    // Figures of this replica in the Prometheus text format.
    std::string metricsText() const;

private:
    using Driver = ReplicaDriver<RoutingState>;

    void tick();
    void openStorage(TimePoint now);
    void writeNotes();
    void scheduleFlush();
    void flush();
    void loseStorage(TimePoint now);
    const RaftCore &raft() const;
    void sendRaft(const RaftSend &send);
    LinkHandle linkFor(ReplicaId replica);
    void watchLag(TimePoint now);
    void describeConsensus(PrometheusWriter &text) const;
    void answer(const Driver::Core::Reply &reply);
    void rejoin(TimePoint now);
    void beat(TimePoint now);
    void followMembers();
    void propose(const RoutingChange &change, Respond respond);
    RoutingProgress progress() const;
    RoutingOffer offer(TimePoint now) const;
    void offerRouting();
    ReplicaList replicaList() const;
    void tellReplicaList(TimePoint now);
    void onClosed(LinkHandle link, const NodeHello &peer);
    void onUnanswered(const NodeHello &peer, const TargetsUnanswered &list);
    void probe(const TargetsUnanswered &list);
    ReplicaPlace place() const;
    std::vector<ReplicaPlace> reachableReplicas() const;
    void tellUnreachable(TimePoint now);
    void sendTable(LinkHandle link);
    void logLeader();

    void onEstablished(LinkHandle link, const NodeHello &peer);
    void onMessage(LinkHandle link, const NodeHello &peer, const NodeMessage &message);
    void onRaft(const RaftEnvelope &envelope);
    void onJoin(const RaftEnvelope &envelope, const JoinRequest &join);
    bool confirmed(TimePoint now) const;
    std::set<ReplicaId> knownReplicas() const;

    boost::asio::io_context &m_io;
    SteeringSettings m_file;
    ReplicaId m_self;
    std::optional<Driver> m_driver; // Empty while the disk refuses to work.
    TimePoint m_storageDue;
    NodeLinks m_links;
    BasicTargetExchange<NodeLinks> m_targets;
    TargetProber m_prober;
    BackgroundFile m_notes;
    bool m_notesDue = false;
    boost::asio::steady_timer m_timer;
    std::map<std::uint64_t, Respond> m_open; // By ticket.
    std::uint64_t m_lastTicket = 0;
    bool m_flushScheduled = false;
    TimePoint m_nextJoin;
    TimePoint m_nextBeat;
    TimePoint m_nextList;
    bool m_listDue = false; // Balancers must hear of a change of the replicas or of where they are.
    RoutingOffer m_offered; // What the balancers were last told.
    VersionWatch m_versions; // Of the other replicas.
    Bytes m_encodedTable; // As a message, of m_encodedVersion.
    std::uint64_t m_encodedVersion = 0;
    std::map<ReplicaId, DataCentreId> m_dataCentres;
    ClusterConfig m_followed;
    ReplicaKey m_loggedLeader;
    ReachWatch m_reach;
    bool m_lags = false; // It hears its leader and lacks what is committed, as of the last beat.
    std::uint64_t m_refusedMessages = 0; // Of consensus.
    LogRateLimiter m_unreadableLog;
    std::uint64_t m_refusedCalls = 0;
    LogRateLimiter m_refusedLog;
    std::uint64_t m_changes = 0;
    LatencyHistogram m_commitTimes;
    std::uint64_t m_storageFailures = 0;
};

} // namespace Robinrail

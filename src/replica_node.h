// SPDX-License-Identifier: MIT
// Replica node: a routing replica with its storage and links. It finds the other replicas through the seeds,
// maintains the target directory and answers typed calls; its owner provides the external API.
#pragma once

#include "async_file_writer.h"
#include "log_rate_limiter.h"
#include "node_links.h"
#include "opening_pin_forwarder.h"
#include "reachability_tracker.h"
#include "replica_driver.h"
#include "routing_state.h"
#include "settings.h"
#include "target_exchange.h"
#include "target_prober.h"
#include "version_tracker.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>

namespace Robinrail {

// Interval of the replica's timer, a third of RaftHeartbeat.
inline constexpr std::chrono::milliseconds ReplicaTickInterval{25};

// Interval between the join requests of a replica that no leader contacts.
inline constexpr Duration JoinRetryInterval = std::chrono::milliseconds(400);

// A voter not heard from for this long is replaced by a spare. Longer than the interruption by an election, and
// shorter than the time after which a second loss must be tolerated (4 s on the smallest deployment).
inline constexpr Duration VoterReplacementTimeout = std::chrono::milliseconds(1500);

// Interval at which replicas tell each other which targets they hear, and all linked nodes which routing version is in force.
inline constexpr Duration ReplicaUpdateInterval = std::chrono::milliseconds(500);

// Minimum interval between the replica lists that are sent to balancers.
inline constexpr Duration ReplicaListInterval = std::chrono::milliseconds(100);

// Interval between attempts to reopen the storage after a failure.
inline constexpr Duration StorageRetryInterval = std::chrono::milliseconds(500);

// Result of a call.
enum class CallOutcome : std::uint8_t {
    Done,
    Rejected, // Nothing was done, and a retry is useless.
    NotLeader, // Nothing was done; retry at the leader.
    Unavailable, // Retry, here or at another replica; a change may or may not have been made.
};

class ReplicaNode
{
public:
    using Respond = std::function<void(CallOutcome)>;

    // `file` must have a data folder.
    ReplicaNode(boost::asio::io_context &io, SteeringSettings file);

    // Opens the storage, listens for links and starts the timer; false if the address can't be bound.
    bool start();

    // Applies changed settings; only the seeds can be changed at run time.
    void reload(const SteeringSettings &file);

    // Starts a planned stop and logs it. The replica goes on working until it calls `stopped`: when its vote is handed over, or at
    // once if it can't be, and within half of the grace period.
    void beginStop(std::function<void()> stopped);

    // Handles the announcement of a target. Done: it is in the directory, and if it drains, the drain survives any
    // loss of replicas that the deployment tolerates; or no routing document names its service. Unavailable also while a
    // target of another service announces itself at its address. Rejected: the birth is missing, which almost all other targets give.
    void announce(const TargetRecord &record, Respond respond);

    // Ends the lifetime of a target that began at `born`, or the current one if `born` is 0. Done: as for announce().
    void leave(TargetKey key, std::uint64_t born, Respond respond);

    // Proposes a validated routing document. Done: it or a higher version is committed.
    void submit(const RoutingDocument &document, Respond respond);

    // Proposes to drain a data centre or to end its drain. Done: the order is committed and holds until the opposite order.
    void submit(const DataCentreDrainOrder &order, Respond respond);

    // Performs a linearizable read: on Done, document() is the newest committed one.
    void read(Respond respond);

    // Counts and logs an external call that the owner rejected before passing it on.
    void countRefusedCall(std::string_view call, std::string_view reason);

    // Where a target should send its announcements from now on: always the same replica, so that it keeps one
    // connection, and one in its own data centre if reachable. Empty: any replica.
    std::optional<Endpoint> announcementEndpoint(const TargetRecord &record) const;

    const RoutingDocument &document() const;
    const DataCentreDrains &drains() const;
    const SteeringSettings &settings() const;

    // Admin endpoint of the leader; port 0 if the leader is unknown or is this replica.
    Endpoint leaderAdmin() const;

    // Metrics of this replica in the Prometheus text format.
    std::string metricsText() const;

private:
    using Driver = ReplicaDriver<RoutingState>;

    void tick();
    void openStorage(TimePoint now);
    void writeNotes();
    void scheduleFlush();
    void flush();
    void onStorageFailure(TimePoint now);
    void endStopIfCompleted();
    const RaftCore &raft() const;
    void sendRaft(const RaftSend &send);
    LinkHandle linkFor(ReplicaId replica);
    void updateLagState(TimePoint now);
    void addRaftMetrics(PrometheusWriter &text) const;
    void completeCall(const Driver::Core::Reply &reply);
    void requestJoin(TimePoint now);
    void sendPeriodicUpdate(TimePoint now);
    void updateMembers();
    void propose(const RoutingChange &change, Respond respond);
    RoutingProgress routingProgress() const;
    RoutingOffer currentOffer(TimePoint now) const;
    void publishRoutingOffer();
    ReplicaList replicaList() const;
    void sendReplicaListIfDue(TimePoint now);
    void onClosed(LinkHandle link, const NodeHello &peer);
    void onUnanswered(const NodeHello &peer, const TargetsUnanswered &list);
    void probe(const TargetsUnanswered &list);
    void onPins(LinkHandle link, const NodeHello &peer, const OpeningPins &message);
    void addPinMetrics(PrometheusWriter &text) const;
    ReplicaLocation ownPlace() const;
    std::vector<ReplicaLocation> reachableReplicas() const;
    void reportUnreachableTargets(TimePoint now);
    void forwardUnreachable(const LifetimesUnreachable &list);
    void sendTable(LinkHandle link);
    void logLeaderChange();

    void onEstablished(LinkHandle link, const NodeHello &peer);
    void onMessage(LinkHandle link, const NodeHello &peer, const NodeMessage &message);
    void onRaft(const RaftEnvelope &envelope);
    void onJoin(const RaftEnvelope &envelope, const JoinRequest &join);
    bool confirmsRouting(TimePoint now) const;
    std::set<ReplicaId> knownReplicas() const;

    boost::asio::io_context &m_io;
    SteeringSettings m_file;
    ReplicaId m_self;
    std::optional<Driver> m_driver; // Empty while the storage can't be opened or after it failed.
    TimePoint m_nextStorageAttempt;
    NodeLinks m_links;
    BasicTargetExchange<NodeLinks> m_targets;
    std::uint64_t m_servicesVersion = 0; // Version of the document whose services m_targets knows.
    TargetProber m_prober;
    StallDetector m_stallDetector;
    OpeningPinForwarder m_pins;
    std::uint64_t m_malformedPins = 0; // Lists of opening pins.
    LogRateLimiter m_malformedPinsLog;
    AsyncFileWriter m_notes;
    bool m_notesDue = false;
    boost::asio::steady_timer m_timer;
    std::map<std::uint64_t, Respond> m_pendingCalls; // By ticket.
    std::uint64_t m_lastTicket = 0;
    bool m_flushScheduled = false;
    std::function<void()> m_stopped; // Empty unless a stop is in progress.
    TimePoint m_stopBegan;
    TimePoint m_nextJoinRequest;
    TimePoint m_nextUpdate;
    TimePoint m_nextReplicaList;
    bool m_replicaListDue = false; // The replicas or their data centres have changed since the last list was sent.
    RoutingOffer m_lastOffer; // Last one sent to the balancers.
    VersionTracker m_versionTracker; // Of the other replicas.
    Bytes m_encodedTable; // Encoded RoutingUpdate with the table of version m_encodedVersion.
    std::uint64_t m_encodedVersion = 0;
    std::map<ReplicaId, DataCentreId> m_dataCentres;
    ClusterConfig m_knownConfig;
    ReplicaKey m_loggedLeader;
    ReachabilityTracker m_reachability;
    bool m_lagging = false; // In contact with the leader without having all committed entries, as of the last update.
    std::uint64_t m_refusedMessages = 0; // Raft messages.
    LogRateLimiter m_unreadableLogBudget;
    std::uint64_t m_refusedCalls = 0;
    LogRateLimiter m_refusedLogBudget;
    std::uint64_t m_changes = 0;
    LatencyHistogram m_commitTimes;
    std::uint64_t m_storageFailures = 0;
};

} // namespace Robinrail

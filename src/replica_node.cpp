// SPDX-License-Identifier: MIT
// Replica node: storage, timer, balancers and links.
#include "replica_node.h"

#include "log.h"
#include "metrics.h"
#include "net.h"
#include "replica_storage.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <random>

namespace Robinrail {

namespace leaf = boost::leaf;

namespace {

// File name of the recovery notes in the data folder.
constexpr const char *NotesFile = "notes";

RaftPolicy policyOf(const SteeringSettings &file)
{
    RaftPolicy policy;
    policy.desiredVoters = 2 * file.maxLostReplicas + 1;
    policy.minCopies = file.maxLostReplicas + 1;
    policy.voterTimeout = VoterReplacementTimeout;
    return policy;
}

} // namespace

ReplicaNode::ReplicaNode(boost::asio::io_context &io, SteeringSettings file)
    : m_io(io)
    , m_file(std::move(file))
    , m_self(ReplicaId{m_file.adminListen.address})
    , m_links(io,
              {NodeRole::Replica, m_self, m_file.dataCentreId(m_file.dataCentre)},
              {[](ReplicaId) {},
               [this](LinkHandle link, const NodeHello &peer) {
                   onEstablished(link, peer);
               },
               [this](LinkHandle link, const NodeHello &peer, const NodeMessage &message) {
                   onMessage(link, peer, message);
               },
               [this](LinkHandle link, const NodeHello &peer) {
                   onClosed(link, peer);
               }})
    , m_targets(m_links, monotonicNow(), ownPlace(), m_file.announceInterval, m_file.lossTolerance())
    , m_prober(io)
    , m_stallDetector(monotonicNow())
    , m_notes(m_file.dataFolder / NotesFile)
    , m_timer(io)
{
}

bool ReplicaNode::start()
{
    openStorage(monotonicNow());
    if (!m_links.listen({m_file.adminListen.address, m_file.linkListenPort})) {
        return false;
    }
    m_links.maintain(knownReplicas(), m_file.linkPort);
    LogLine(LogLevel::Info, "started")
        .with("node", m_file.node)
        .with("replica", toText(m_self))
        .with("data-centre", m_file.dataCentre)
        .with("first-start", m_file.firstStart)
        .with("version", document().table.version);
    tick();
    return true;
}

void ReplicaNode::reload(const SteeringSettings &file)
{
    m_file.seeds = file.seeds;
    m_links.maintain(knownReplicas(), m_file.linkPort);
    LogLine(LogLevel::Info, "settings-reloaded").with("seeds", m_file.seeds.size());
}

void ReplicaNode::beginStop(std::function<void()> stopped)
{
    LogLine(LogLevel::Info, "stopping").with("targets", m_targets.size()).with("followers", m_targets.followers());
    m_links.logTraffic();
    m_stopped = std::move(stopped);
    m_stopBegan = monotonicNow();
    if (m_driver) {
        m_driver->core().beginStop(m_stopBegan, std::min(VoteHandoverLimit, m_file.stopGracePeriod / 2));
        flush();
    }
    endStopIfCompleted();
}

// A replica whose storage failed acknowledges nothing, so it can't hand over its vote.
void ReplicaNode::endStopIfCompleted()
{
    const TimePoint now = monotonicNow();
    if (!m_stopped || (m_driver && !raft().stopCompleted(now))) {
        return;
    }
    // By the log of this replica, which may not have received its own demotion yet.
    LogLine(LogLevel::Info, "stopped")
        .with("voter", m_driver && raft().isVoter(raft().self()))
        .with("ms", std::chrono::duration_cast<std::chrono::milliseconds>(now - m_stopBegan).count());
    std::exchange(m_stopped, {})();
}

// ---- Storage ----

// Opens the storage; on failure tick() retries later. A full or failing disk must not end the process, which can still
// handle the announcements of targets.
void ReplicaNode::openStorage(TimePoint now)
{
    m_nextStorageAttempt = now + StorageRetryInterval;
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(storage, openReplicaStorage(m_file, m_self));
            const std::uint64_t disk = storage.identity().disk;
            const RecoveryNotes notes = readRecoveryNotes(m_file.dataFolder / NotesFile, disk);
            m_driver.emplace(std::move(storage), now, std::random_device()(), policyOf(m_file), notes.committed);
            m_targets.restore(now, notes.targets);
            for (const ReplicaLocation &known : notes.replicas) {
                m_dataCentres.try_emplace(known.replica, known.dataCentre);
            }
            m_dataCentres[m_self] = m_file.dataCentreId(m_file.dataCentre);
            for (const auto &[replica, dataCentre] : m_dataCentres) {
                m_driver->core().setDataCentre(replica, dataCentre);
            }
            LogLine(LogLevel::Info, "storage-opened").with("disk", disk).with("last-index", value(raft().lastIndex()));
            return {};
        },
        [&](const StorageContext &context) {
            ++m_storageFailures;
            LogLine(LogLevel::Error, "storage-refused").with("file", context.file).with("reason", context.detail);
        },
        [&](const leaf::error_info &info) {
            ++m_storageFailures;
            LogLine(LogLevel::Error, "storage-refused").with("reason", "error without context").with("error", info.error().value());
        });
}

// Failed writes only delay recovery after a restart; AsyncFileWriter logs the reason.
void ReplicaNode::writeNotes()
{
    m_notesDue = m_targets.takeChanged() || m_notesDue;
    if (!m_notesDue || !m_driver) {
        return;
    }
    RecoveryNotes notes{m_driver->self().disk, raft().commitIndex(), m_targets.all(monotonicNow()), replicaList().replicas};
    m_notesDue = !m_notes.replace(encodeNotes(notes));
}

// After a failed write nothing may be acknowledged: the state of the core is discarded and recovered from disk, as after a
// restart.
void ReplicaNode::onStorageFailure(TimePoint now)
{
    ++m_storageFailures;
    m_driver.reset();
    m_nextStorageAttempt = now + StorageRetryInterval;
    for (const auto &[ticket, respond] : std::exchange(m_pendingCalls, {})) {
        respond(CallOutcome::Unavailable);
    }
    endStopIfCompleted();
}

// ---- Driver loop: tick, persist, send, apply ----

void ReplicaNode::tick()
{
    const TimePoint now = monotonicNow();
    m_stallDetector.tick(now);
    m_links.tick(now);
    if (!m_driver && now >= m_nextStorageAttempt) {
        openStorage(now);
    }
    if (m_driver) {
        m_driver->core().tick(now);
        requestJoin(now);
        flush();
    }
    sendPeriodicUpdate(now);
    sendReplicaListIfDue(now);
    reportUnreachableTargets(now);
    m_targets.reconcile(now);
    m_targets.publish(now);
    m_targets.expireDrains(now);
    m_timer.expires_after(ReplicaTickInterval);
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            tick();
        }
    });
}

// Batches all messages that arrive in one turn of the event loop into one write and sync.
void ReplicaNode::scheduleFlush()
{
    if (m_flushScheduled) {
        return;
    }
    m_flushScheduled = true;
    boost::asio::post(m_io, [this] {
        m_flushScheduled = false;
        flush();
    });
}

void ReplicaNode::flush()
{
    if (!m_driver) {
        return;
    }
    const LogIndex committed = raft().commitIndex();
    const bool works = m_driver->processOutput([this](const RaftSend &send) {
        sendRaft(send);
    });
    if (!works) {
        return onStorageFailure(monotonicNow());
    }
    m_notesDue = m_notesDue || raft().commitIndex() != committed;
    for (const Driver::Core::Reply &reply : m_driver->core().takeReplies()) {
        completeCall(reply);
    }
    updateMembers();
    publishRoutingOffer();
    logLeaderChange();
    endStopIfCompleted();
}

void ReplicaNode::completeCall(const Driver::Core::Reply &reply)
{
    const auto at = m_pendingCalls.find(reply.ticket);
    if (at == m_pendingCalls.end()) {
        return;
    }
    const Respond respond = std::move(at->second);
    m_pendingCalls.erase(at);
    switch (reply.status) {
    case RequestStatus::NotLeader:
        return respond(CallOutcome::NotLeader);
    case RequestStatus::Unknown:
        return respond(CallOutcome::Unavailable);
    case RequestStatus::Done:
        return respond(CallOutcome::Done);
    }
}

// ---- Balancers ----

bool ReplicaNode::confirmsRouting(TimePoint now) const
{
    return m_driver && m_versionTracker.isNewest(raft().caughtUp(now), routingProgress());
}

RoutingProgress ReplicaNode::routingProgress() const
{
    return {document().table.version, drains().revision()};
}

RoutingOffer ReplicaNode::currentOffer(TimePoint now) const
{
    RoutingOffer offer{routingProgress(), confirmsRouting(now), {}};
    for (const std::string &name : drains().drained()) {
        offer.drained.push_back(m_file.dataCentreId(name));
    }
    return offer;
}

void ReplicaNode::publishRoutingOffer()
{
    const RoutingOffer current = currentOffer(monotonicNow());
    const bool changed = current.progress != m_lastOffer.progress;
    if (changed) {
        LogLine(LogLevel::Info, "routing-in-force")
            .with("version", current.progress.version)
            .with("routes", document().table.routes.size())
            .with("drain-revision", current.progress.drainRevision)
            .with("drained", current.drained.size());
    }
    // A first confirmation is sent at once, as balancers that have just started wait for it. The loss of the confirmation
    // is not urgent and goes with the next periodic update.
    if (changed || (current.confirmed && !m_lastOffer.confirmed)) {
        m_links.sendAll(m_links.acceptedFrom(NodeRole::Balancer), current);
    }
    m_lastOffer = current;
}

// Encodes each table only once: after a power loss hundreds of balancers request it within a fraction of a second.
void ReplicaNode::sendTable(LinkHandle link)
{
    if (m_encodedTable.empty() || m_encodedVersion != document().table.version) {
        m_encodedVersion = document().table.version;
        m_encodedTable = encodeMessage(NodeMessage(RoutingUpdate{document().table}));
    }
    m_links.sendEncoded(link, m_encodedTable);
}

void ReplicaNode::sendPeriodicUpdate(TimePoint now)
{
    if (now < m_nextUpdate) {
        return;
    }
    m_nextUpdate = now + ReplicaUpdateInterval;
    writeNotes();
    updateLagState(now);
    const RoutingOffer current = currentOffer(now);
    m_links.sendAll(m_links.acceptedFrom(NodeRole::Balancer), current);
    m_links.sendAll(m_links.dialled(), current);
    m_targets.sendHeartbeat(now);
}

// ---- Links ----

void ReplicaNode::onEstablished(LinkHandle link, const NodeHello &peer)
{
    const TimePoint now = monotonicNow();
    if (peer.role == NodeRole::Replica) {
        const bool moved = std::exchange(m_dataCentres[peer.replica], peer.dataCentre) != peer.dataCentre;
        if (moved) {
            // Balancers prefer replicas in their own data centre, so they need the updated list.
            m_replicaListDue = true;
            sendReplicaListIfDue(now);
        }
        if (m_driver) {
            m_driver->core().setDataCentre(peer.replica, peer.dataCentre);
        }
        LogLine(LogLevel::Info, "replica-link-up").with("replica", toText(peer.replica));
        m_targets.linked(peer.replica, link);
    } else {
        m_links.send(link, replicaList());
        m_links.send(link, currentOffer(now));
    }
}

void ReplicaNode::onClosed(LinkHandle link, const NodeHello &peer)
{
    m_targets.unfollow(link);
    m_targets.closed(link);
    if (peer.role == NodeRole::Replica) {
        LogLine(LogLevel::Warning, "replica-link-lost").with("replica", toText(peer.replica));
    }
}

void ReplicaNode::onMessage(LinkHandle link, const NodeHello &peer, const NodeMessage &message)
{
    if (std::holds_alternative<RoutingRequest>(message)) {
        sendTable(link);
    } else if (const auto *unanswered = std::get_if<TargetsUnanswered>(&message)) {
        onUnanswered(peer, *unanswered);
    } else if (const auto *follow = std::get_if<FollowDirectory>(&message)) {
        m_targets.follow(monotonicNow(), link, *follow);
    } else if (const auto *pins = std::get_if<OpeningPins>(&message)) {
        onPins(link, peer, *pins);
    }
    if (peer.role != NodeRole::Replica) {
        return;
    }
    if (const auto *envelope = std::get_if<RaftEnvelope>(&message)) {
        onRaft(*envelope);
    } else if (const auto *news = std::get_if<TargetStatusList>(&message)) {
        m_targets.onTargetStatuses(monotonicNow(), link, *news);
    } else if (const auto *heard = std::get_if<TargetLeaseUpdate>(&message)) {
        m_targets.onLeaseUpdate(monotonicNow(), link, *heard);
    } else if (const auto *offered = std::get_if<RoutingOffer>(&message)) {
        m_versionTracker.observeInForce(offered->progress);
    } else if (const auto *receipts = std::get_if<TargetReceipts>(&message)) {
        m_targets.onReceipts(monotonicNow(), {peer.replica, peer.dataCentre}, *receipts);
    } else if (const auto *digest = std::get_if<DirectoryDigest>(&message)) {
        m_targets.onDigest(monotonicNow(), link, *digest);
    } else if (const auto *compare = std::get_if<DirectoryCompare>(&message)) {
        m_targets.onCompare(monotonicNow(), link, *compare);
    } else if (const auto *query = std::get_if<DirectoryQuery>(&message)) {
        m_targets.onQuery(monotonicNow(), link, *query);
    } else if (const auto *answered = std::get_if<DirectoryQueryDone>(&message)) {
        m_targets.onAnswered(link, *answered);
    } else if (const auto *gone = std::get_if<LifetimesUnreachable>(&message); gone != nullptr && gone->reporter.replica == peer.replica) {
        forwardUnreachable(*gone);
    }
}

// ---- Accessors ----

ReplicaLocation ReplicaNode::ownPlace() const
{
    return {m_self, m_file.dataCentreId(m_file.dataCentre)};
}

const RoutingDocument &ReplicaNode::document() const
{
    static const RoutingDocument None;
    return m_driver ? m_driver->core().state().document() : None;
}

const DataCentreDrains &ReplicaNode::drains() const
{
    static const DataCentreDrains None;
    return m_driver ? m_driver->core().state().drains() : None;
}

const RaftCore &ReplicaNode::raft() const
{
    return m_driver->core().raft();
}

const SteeringSettings &ReplicaNode::settings() const
{
    return m_file;
}

Endpoint ReplicaNode::leaderAdmin() const
{
    const ReplicaKey leader = m_driver ? raft().leader() : ReplicaKey{};
    const bool elsewhere = value(leader.id) != 0 && leader.id != m_self;
    return elsewhere ? Endpoint{value(leader.id), m_file.adminListen.port} : Endpoint{};
}

std::string ReplicaNode::metricsText() const
{
    PrometheusWriter text;
    addRaftMetrics(text);
    text.gauge("robinrail_routing_version", "Version of the routing document in force", static_cast<double>(document().table.version));
    text.gauge("robinrail_drained_data_centres", "Data centres that get no new flows", static_cast<double>(drains().drained().size()));
    text.gauge("robinrail_targets_known", "Targets in the directory", static_cast<double>(m_targets.size()));
    text.gauge("robinrail_followers", "Balancers that follow this replica's directory", static_cast<double>(m_targets.followers()));
    text.gauge("robinrail_balancer_links", "Balancers linked to this replica", static_cast<double>(m_links.acceptedFrom(NodeRole::Balancer).size()));
    text.counter("robinrail_announcements_total", "Announcements of targets", static_cast<double>(m_targets.announcements()));
    text.counter("robinrail_refused_calls_total", "Calls that could not be read or ask for the impossible", static_cast<double>(m_refusedCalls));
    text.counter("robinrail_changes_total", "Routing documents and drains of data centres proposed here", static_cast<double>(m_changes));
    text.counter("robinrail_storage_failures_total", "Times that the disk refused to work", static_cast<double>(m_storageFailures));
    text.counter("robinrail_target_probes_total", "Connections tried to targets that balancers reported", static_cast<double>(m_prober.probes()));
    text.counter("robinrail_drains_unanswered_total", "Drains that too few replicas confirmed", static_cast<double>(m_targets.drainsUnanswered()));
    text.histogram("robinrail_commit_seconds", "From a proposed document or drain to its commit", m_commitTimes);
    text.histogram("robinrail_drain_confirm_seconds", "From a drain to its confirmation", m_targets.drainTimes());
    if (m_driver) {
        text.histogram("robinrail_sync_seconds", "Writes of the log with their syncs", m_driver->syncTimes());
    }
    text.counter("robinrail_notes_not_written_total", "Times that the recovery notes could not be written", static_cast<double>(m_notes.failures()));
    text.counter("robinrail_log_lines_dropped_total", "Log lines that standard output could not take", static_cast<double>(droppedLogLines()));
    addPinMetrics(text);
    m_links.writeMetrics(text);
    return text.text();
}

} // namespace Robinrail

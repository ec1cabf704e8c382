// SPDX-License-Identifier: MIT
// Replica node: the driver's loop, members, targets and calls.
#include "replica_node.h"

#include "durable_file.h"
#include "hash.h"
#include "log.h"
#include "metrics.h"
#include "net.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <random>

namespace Robinrail {

namespace leaf = boost::leaf;

namespace {

// The file of the recovery notes in the data folder.
constexpr const char *NotesFile = "notes";

// The disk number of every seed at the first start; all others are drawn at random above it.
constexpr std::uint64_t FirstDisk = 1;

std::uint64_t randomDisk()
{
    std::random_device device;
    const std::uint64_t drawn = (std::uint64_t{device()} << 32U) | device();
    return std::max(drawn, FirstDisk + 1);
}

// All seeds derive the same cluster number from each other.
std::uint64_t clusterOf(std::span<const ReplicaKey> voters)
{
    std::uint64_t hash = voters.size();
    for (const ReplicaKey &voter : voters) {
        hash = hashPair(hash, value(voter.id));
    }
    return std::max<std::uint64_t>(hash, 1);
}

RaftPolicy policyOf(const SteeringFile &file)
{
    RaftPolicy policy;
    policy.wantedVoters = 2 * file.borneLosses + 1;
    policy.copies = file.borneLosses + 1;
    policy.lostAfter = VoterLostAfter;
    return policy;
}

std::string replicaText(ReplicaId replica)
{
    return addressText({value(replica), 0});
}

} // namespace

ReplicaNode::ReplicaNode(boost::asio::io_context &io, SteeringFile file)
    : m_io(io)
    , m_file(std::move(file))
    , m_self(ReplicaId{m_file.adminListen.address})
    , m_links(io,
              {NodeRole::Replica, m_self, m_file.dataCentreId(m_file.dataCentre)},
              {[this](LinkHandle link, const NodeHello &peer) {
                   onEstablished(link, peer);
               },
               [this](LinkHandle link, const NodeHello &peer, const NodeMessage &message) {
                   onMessage(link, peer, message);
               },
               [](LinkHandle, const NodeHello &peer) {
                   if (peer.role == NodeRole::Replica) {
                       LogLine(LogLevel::Warning, "replica-link-lost").with("replica", replicaText(peer.replica));
                   }
               }})
    , m_directory(m_file.announceInterval * MissedAnnouncements + AnnouncementSlack)
    , m_drains(m_file.borneLosses)
    , m_notes(m_file.dataFolder / NotesFile)
    , m_timer(io)
    , m_started(monotonicNow())
{
}

bool ReplicaNode::start()
{
    openStorage(m_started);
    if (!m_links.listen({m_file.adminListen.address, m_file.linkListenPort})) {
        return false;
    }
    m_links.maintain(knownReplicas(), m_file.linkPort);
    LogLine(LogLevel::Info, "started")
        .with("node", m_file.node)
        .with("replica", replicaText(m_self))
        .with("data-centre", m_file.dataCentre)
        .with("first-start", m_file.firstStart)
        .with("version", document().table.version);
    tick();
    return true;
}

void ReplicaNode::reload(const SteeringFile &file)
{
    m_file.seeds = file.seeds;
    m_links.maintain(knownReplicas(), m_file.linkPort);
    LogLine(LogLevel::Info, "settings-reloaded").with("seeds", m_file.seeds.size());
}

// ---- Storage ----

// Opens the disk, or tries again later: a full or failing disk must not end the process, which still serves
// the targets' announcements.
void ReplicaNode::openStorage(TimePoint now)
{
    m_storageDue = now + StorageRetry;
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            const std::uint64_t disk = m_file.firstStart ? FirstDisk : randomDisk();
            BOOST_LEAF_AUTO(storage, RaftStorage::open(m_file.dataFolder, m_self, disk));
            if (m_file.firstStart && !prepareFirstStart(storage)) {
                return leaf::new_error(StorageError::Io, StorageContext{m_file.dataFolder, "first start not written"});
            }
            m_storage.emplace(std::move(storage));
            const ReplicaKey self{m_self, m_storage->identity().disk};
            RaftDurable durable = m_storage->takeDurable();
            const RecoveryNotes notes = readNotes(self.disk);
            durable.committed = notes.committed;
            m_core.emplace(self, std::move(durable), now, std::random_device()(), policyOf(m_file));
            m_targetsRestored = !notes.targets.empty();
            for (const TargetStatus &status : notes.targets) {
                m_directory.take(now, {status.record, false, Duration{0}});
            }
            m_dataCentres[m_self] = m_file.dataCentreId(m_file.dataCentre);
            for (const auto &[replica, dataCentre] : m_dataCentres) {
                m_core->setDataCentre(replica, dataCentre);
            }
            LogLine(LogLevel::Info, "storage-opened").with("disk", self.disk).with("last-index", value(m_core->raft().lastIndex()));
            return {};
        },
        [&](StorageError, const StorageContext &context) {
            ++m_storageFailures;
            LogLine(LogLevel::Error, "storage-refused").with("file", context.file).with("reason", context.detail);
        },
        [&] {
            ++m_storageFailures;
            LogLine(LogLevel::Error, "storage-refused").with("reason", "unknown");
        });
}

// The notes that this disk's log left; empty ones if there are none, which only costs time.
RecoveryNotes ReplicaNode::readNotes(std::uint64_t disk)
{
    const std::filesystem::path path = m_file.dataFolder / NotesFile;
    const std::optional<Bytes> bytes = leaf::try_handle_all(
        [&] {
            return readFile(path);
        },
        [&] {
            LogLine(LogLevel::Warning, "notes-unreadable").with("file", path.string());
            return std::optional<Bytes>();
        });
    std::optional<RecoveryNotes> notes = bytes ? decodeNotes(*bytes) : std::nullopt;
    if (!notes || notes->disk != disk) {
        return {};
    }
    return std::move(*notes);
}

void ReplicaNode::writeNotes()
{
    if (!m_notesDue || !m_core) {
        return;
    }
    RecoveryNotes notes{m_core->raft().self().disk, m_core->raft().commitIndex(), m_directory.all(monotonicNow())};
    m_notesDue = !m_notes.replace(encodeNotes(notes));
}

// At the first start of all, the seeds are the voters, and each seed writes the same beginning of the log.
bool ReplicaNode::prepareFirstStart(RaftStorage &storage)
{
    std::vector<ReplicaKey> voters;
    for (const Endpoint &seed : m_file.seeds) {
        voters.push_back({ReplicaId{seed.address}, FirstDisk});
    }
    std::sort(voters.begin(), voters.end());
    const bool isSeed = std::find(voters.begin(), voters.end(), ReplicaKey{m_self, FirstDisk}) != voters.end();
    if (!isSeed || storage.identity().cluster != 0) {
        return true;
    }
    const RaftDurable beginning = RaftCore::bootstrap(voters);
    RaftOutput first;
    first.hard = beginning.hard;
    first.entries = beginning.log;
    return leaf::try_handle_all(
        [&]() -> leaf::result<bool> {
            BOOST_LEAF_CHECK(storage.persist(first));
            BOOST_LEAF_CHECK(storage.setCluster(clusterOf(voters)));
            BOOST_LEAF_ASSIGN(storage, RaftStorage::open(m_file.dataFolder, m_self, FirstDisk));
            return true;
        },
        [](const StorageContext &context) {
            LogLine(LogLevel::Error, "storage-failed").with("file", context.file).with("reason", context.detail);
            return false;
        },
        [] {
            return false;
        });
}

// After a refused write nothing may be acknowledged: what the core believes is thrown away and read anew
// from the disk, as after a restart.
void ReplicaNode::loseStorage(TimePoint now)
{
    ++m_storageFailures;
    m_core.reset();
    m_storage.reset();
    m_storageDue = now + StorageRetry;
    for (const auto &[ticket, respond] : std::exchange(m_open, {})) {
        respond(ReplicaAnswer::Unavailable);
    }
}

bool ReplicaNode::persist(const RaftOutput &output)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<bool> {
            BOOST_LEAF_CHECK(m_storage->persist(output));
            return true;
        },
        [](const StorageContext &context) {
            LogLine(LogLevel::Error, "storage-failed").with("file", context.file).with("reason", context.detail);
            return false;
        },
        [] {
            LogLine(LogLevel::Error, "storage-failed").with("reason", "unknown");
            return false;
        });
}

// ---- The driver's loop: tick, persist, send, apply ----

void ReplicaNode::tick()
{
    const TimePoint now = monotonicNow();
    m_links.tick(now);
    if (!m_core && now >= m_storageDue) {
        openStorage(now);
    }
    if (m_core) {
        m_core->tick(now);
        rejoin(now);
        flush();
    }
    beat(now);
    if (const std::size_t expired = m_drains.expire(now); expired > 0) {
        m_drainsUnanswered += expired;
        LogLine(LogLevel::Warning, "drain-not-shared").with("drains", expired).with("needed", m_file.borneLosses);
    }
    m_timer.expires_after(ReplicaTick);
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            tick();
        }
    });
}

// Everything that arrives in one turn of the event loop shares one sync.
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
    if (!m_core) {
        return;
    }
    const RaftOutput output = m_core->takeOutput();
    if (output.mustSync() && !persist(output)) {
        return loseStorage(monotonicNow());
    }
    for (const RaftSend &send : output.sends) {
        sendRaft(send);
    }
    m_core->apply(output);
    m_notesDue = m_notesDue || !output.committed.empty();
    if (m_core->compactIfDue()) {
        RaftOutput compacted;
        compacted.snapshot = m_core->raft().snapshot();
        compacted.hard = m_core->raft().hardState();
        compacted.entries.assign(m_core->raft().log().begin(), m_core->raft().log().end());
        if (!persist(compacted)) {
            return loseStorage(monotonicNow());
        }
    }
    for (const Core::Reply &reply : m_core->takeReplies()) {
        answer(reply);
    }
    followMembers();
    offerRouting();
    logLeader();
}

void ReplicaNode::answer(const Core::Reply &reply)
{
    const auto at = m_open.find(reply.ticket);
    if (at == m_open.end()) {
        return;
    }
    const Respond respond = std::move(at->second);
    m_open.erase(at);
    switch (reply.status) {
    case ControlStatus::NotLeader:
        return respond(ReplicaAnswer::Elsewhere);
    case ControlStatus::Unknown:
        return respond(ReplicaAnswer::Unavailable);
    case ControlStatus::Done:
        return respond(ReplicaAnswer::Done);
    }
}

// ---- Members ----

std::set<ReplicaId> ReplicaNode::knownReplicas() const
{
    std::set<ReplicaId> known;
    for (const Endpoint &seed : m_file.seeds) {
        known.insert(ReplicaId{seed.address});
    }
    if (m_core) {
        for (const ReplicaMember &member : m_core->raft().config().members) {
            known.insert(member.key.id);
        }
    }
    known.erase(m_self);
    return known;
}

void ReplicaNode::followMembers()
{
    const ClusterConfig &config = m_core->raft().config();
    if (config == m_followed) {
        return;
    }
    m_followed = config;
    m_links.maintain(knownReplicas(), m_file.linkPort);
    ReplicaList list;
    std::string voters;
    for (const ReplicaMember &member : config.members) {
        list.replicas.push_back(member.key.id);
        voters += (voters.empty() ? "" : ",") + replicaText(member.key.id) + (member.voter ? "" : "(learner)");
    }
    tell(m_links.acceptedFrom(NodeRole::Balancer), list);
    LogLine(LogLevel::Info, "members-changed").with("members", voters).with("term", value(m_core->raft().term()));
}

// Asks to be taken in, as long as no leader speaks to this replica: its disk is new, or it was removed while
// it was away.
void ReplicaNode::rejoin(TimePoint now)
{
    const bool alone = m_core->raft().role() == RaftRole::Joining || !m_core->raft().inContact(now);
    if (!alone || now < m_nextJoin) {
        return;
    }
    m_nextJoin = now + RejoinInterval;
    for (const ReplicaId replica : knownReplicas()) {
        sendRaft({{replica, 0}, JoinRequest{m_core->raft().self()}});
    }
}

void ReplicaNode::sendRaft(const RaftSend &send)
{
    sendEnvelope({m_storage->identity().cluster, m_core->raft().self(), send.to, encodeMessage(send.message)});
}

void ReplicaNode::sendEnvelope(const RaftEnvelope &envelope)
{
    if (const LinkHandle link = m_links.linkTo(envelope.to.id); link != 0) {
        m_links.send(link, envelope);
    }
}

void ReplicaNode::onRaft(const RaftEnvelope &envelope)
{
    const std::optional<RaftMessage> message = decodeMessage<RaftMessage>(envelope.message);
    if (!message || !m_core) {
        return;
    }
    if (const auto *join = std::get_if<JoinRequest>(&*message)) {
        const ReplicaKey leader = m_core->raft().leader();
        const bool firstHop = envelope.from == join->joiner;
        if (m_core->raft().role() != RaftRole::Leader && firstHop && value(leader.id) != 0) {
            return sendEnvelope({m_storage->identity().cluster, m_core->raft().self(), {leader.id, 0}, envelope.message});
        }
    } else {
        if (envelope.to != m_core->raft().self()) {
            return;
        }
        const std::uint64_t cluster = m_storage->identity().cluster;
        if (cluster != 0 && envelope.cluster != cluster) {
            LogLine(LogLevel::Warning, "foreign-cluster").with("replica", replicaText(envelope.from.id)).with("cluster", envelope.cluster);
            return;
        }
        if (cluster == 0 && envelope.cluster != 0) {
            const bool joined = leaf::try_handle_all(
                [&]() -> leaf::result<bool> {
                    BOOST_LEAF_CHECK(m_storage->setCluster(envelope.cluster));
                    return true;
                },
                [] {
                    LogLine(LogLevel::Error, "storage-failed").with("reason", "cluster not written");
                    return false;
                });
            if (!joined) {
                return loseStorage(monotonicNow());
            }
            LogLine(LogLevel::Info, "joined-cluster").with("cluster", envelope.cluster);
        }
    }
    m_core->handle(monotonicNow(), envelope.from, *message);
    scheduleFlush();
}

void ReplicaNode::logLeader()
{
    const ReplicaKey leader = m_core->raft().leader();
    if (leader != m_loggedLeader) {
        m_loggedLeader = leader;
        LogLine(LogLevel::Info, "leader-changed")
            .with("leader", value(leader.id) != 0 ? replicaText(leader.id) : "none")
            .with("term", value(m_core->raft().term()))
            .with("commit", value(m_core->raft().commitIndex()));
    }
}

// ---- Balancers ----

bool ReplicaNode::confirmed(TimePoint now) const
{
    return m_core && m_core->raft().inContact(now);
}

void ReplicaNode::offerRouting()
{
    const std::uint64_t version = document().table.version;
    if (version != m_offered) {
        m_offered = version;
        tell(m_links.acceptedFrom(NodeRole::Balancer), RoutingOffer{version, confirmed(monotonicNow())});
        LogLine(LogLevel::Info, "routing-in-force").with("version", version).with("routes", document().table.routes.size());
    }
}

void ReplicaNode::beat(TimePoint now)
{
    if (now < m_nextBeat) {
        return;
    }
    m_nextBeat = now + ReplicaBeatInterval;
    writeNotes();
    tell(m_links.acceptedFrom(NodeRole::Balancer), RoutingOffer{document().table.version, confirmed(now)});
    const std::vector<LinkHandle> replicas = m_links.dialled();
    TargetsHeard heard{m_directory.takeHeardHere()};
    if (!heard.keys.empty()) {
        tell(replicas, heard);
    }
    for (const TargetStatus &news : m_directory.tick(now)) {
        LogLine(LogLevel::Warning, "target-silent").with("target", value(news.record.key)).with("silent-ms", news.age.count() / 1000);
        tell(m_links.acceptedFrom(NodeRole::Balancer), TargetStatusList{{news}});
    }
    if (!m_toldBalancers && informed(now)) {
        m_toldBalancers = true;
        tell(m_links.acceptedFrom(NodeRole::Balancer), TargetsTold{});
    }
}

// Whether the targets that are there have had time to announce themselves, here or at another replica.
bool ReplicaNode::informed(TimePoint now) const
{
    return m_targetsRestored || m_toldByOther || now - m_started >= m_file.announceInterval * MissedAnnouncements;
}

// ---- Links ----

void ReplicaNode::tell(std::span<const LinkHandle> links, const NodeMessage &message)
{
    for (const LinkHandle link : links) {
        m_links.send(link, message);
    }
}

void ReplicaNode::onEstablished(LinkHandle link, const NodeHello &peer)
{
    const TimePoint now = monotonicNow();
    if (peer.role == NodeRole::Replica) {
        m_dataCentres[peer.replica] = peer.dataCentre;
        if (m_core) {
            m_core->setDataCentre(peer.replica, peer.dataCentre);
        }
        LogLine(LogLevel::Info, "replica-link-up").with("replica", replicaText(peer.replica));
    } else {
        ReplicaList list{{m_self}};
        for (const ReplicaId replica : knownReplicas()) {
            list.replicas.push_back(replica);
        }
        m_links.send(link, list);
        m_links.send(link, RoutingOffer{document().table.version, confirmed(now)});
    }
    m_links.send(link, TargetStatusList{m_directory.all(now)});
    if (informed(now)) {
        m_links.send(link, TargetsTold{});
    }
}

void ReplicaNode::onMessage(LinkHandle link, const NodeHello &peer, const NodeMessage &message)
{
    if (std::holds_alternative<RoutingRequest>(message)) {
        m_links.send(link, RoutingUpdate{document().table});
    }
    if (peer.role != NodeRole::Replica) {
        return;
    }
    if (const auto *envelope = std::get_if<RaftEnvelope>(&message)) {
        onRaft(*envelope);
    } else if (const auto *news = std::get_if<TargetStatusList>(&message)) {
        onNews(link, *news);
    } else if (const auto *heard = std::get_if<TargetsHeard>(&message)) {
        for (const TargetStatus &back : m_directory.heard(monotonicNow(), heard->keys)) {
            tell(m_links.acceptedFrom(NodeRole::Balancer), TargetStatusList{{back}});
        }
    } else if (const auto *receipt = std::get_if<TargetReceipt>(&message)) {
        m_drains.receipt(peer.replica, receipt->key, receipt->phase);
    } else if (std::holds_alternative<TargetsTold>(message)) {
        m_toldByOther = true;
    }
}

void ReplicaNode::onNews(LinkHandle link, const TargetStatusList &list)
{
    TargetStatusList changed;
    for (const TargetStatus &news : list.news) {
        if (std::optional<TargetStatus> taken = m_directory.take(monotonicNow(), news)) {
            changed.news.push_back(std::move(*taken));
        }
        if (news.record.phase != TargetPhase::Serving) {
            m_links.send(link, TargetReceipt{news.record.key, news.record.phase});
        }
    }
    if (!changed.news.empty()) {
        m_notesDue = true;
        tell(m_links.acceptedFrom(NodeRole::Balancer), changed);
    }
}

// ---- Calls: targets ----

void ReplicaNode::spread(const TargetStatus &news)
{
    const TargetStatusList list{{news}};
    m_notesDue = true;
    tell(m_links.dialled(), list);
    tell(m_links.acceptedFrom(NodeRole::Balancer), list);
    if (const auto leftOut = m_newsLog.take(monotonicNow())) {
        LogLine(LogLevel::Info, "target-changed")
            .with("target", value(news.record.key))
            .with("service", news.record.service)
            .with("address", toText(news.record.address))
            .with("phase", static_cast<int>(news.record.phase))
            .with("sequence", news.record.sequence)
            .with("left-out", *leftOut);
    }
}

void ReplicaNode::announce(const TargetRecord &record, Respond respond)
{
    ++m_announcements;
    for (const TargetStatus &news : m_directory.announce(monotonicNow(), record)) {
        spread(news);
    }
    const TargetRecord *known = m_directory.find(record.key);
    if (known == nullptr) {
        return respond(ReplicaAnswer::Unavailable);
    }
    if (known->phase == TargetPhase::Serving) {
        return respond(ReplicaAnswer::Done);
    }
    confirmDrain(*known, std::move(respond));
}

void ReplicaNode::leave(TargetKey key, Respond respond)
{
    const std::optional<TargetStatus> news = m_directory.leave(monotonicNow(), key);
    if (!news) {
        // Nobody here knows it, so nobody sends it anything either.
        return respond(ReplicaAnswer::Done);
    }
    spread(*news);
    confirmDrain(news->record, std::move(respond));
}

// Others may have missed the news that began this, so they are told again.
void ReplicaNode::confirmDrain(const TargetRecord &record, Respond respond)
{
    tell(m_links.dialled(), TargetStatusList{{{record, false, Duration{0}}}});
    m_drains.await(monotonicNow(), record.key, record.phase, [respond = std::move(respond)](bool confirmed) {
        respond(confirmed ? ReplicaAnswer::Done : ReplicaAnswer::Unavailable);
    });
}

// ---- Calls: the routing document ----

void ReplicaNode::submit(const RoutingDocument &routing, Respond respond)
{
    if (!m_core) {
        return respond(ReplicaAnswer::Unavailable);
    }
    if (document().table.version >= routing.table.version) {
        // What is held is committed, so this is true at any replica, however far it lags.
        return respond(ReplicaAnswer::Done);
    }
    ++m_changes;
    m_open[++m_lastTicket] = std::move(respond);
    m_core->submit(monotonicNow(), m_lastTicket, routing);
    scheduleFlush();
}

void ReplicaNode::read(Respond respond)
{
    if (!m_core) {
        return respond(ReplicaAnswer::Unavailable);
    }
    m_open[++m_lastTicket] = std::move(respond);
    m_core->read(monotonicNow(), m_lastTicket);
    scheduleFlush();
}

// ---- Small questions ----

const RoutingDocument &ReplicaNode::document() const
{
    static const RoutingDocument None;
    return m_core ? m_core->state().document() : None;
}

const SteeringFile &ReplicaNode::settings() const
{
    return m_file;
}

Endpoint ReplicaNode::leaderAdmin() const
{
    const ReplicaKey leader = m_core ? m_core->raft().leader() : ReplicaKey{};
    const bool elsewhere = value(leader.id) != 0 && leader.id != m_self;
    return elsewhere ? Endpoint{value(leader.id), m_file.adminListen.port} : Endpoint{};
}

std::string ReplicaNode::metricsText() const
{
    MetricsText text;
    const bool leads = m_core && m_core->raft().role() == RaftRole::Leader;
    text.gauge("robinrail_replica_leader", "1 if this replica leads", leads ? 1 : 0);
    text.gauge("robinrail_replica_term", "Term of consensus", m_core ? static_cast<double>(value(m_core->raft().term())) : 0);
    text.gauge("robinrail_replica_commit", "Index of the last committed entry", m_core ? static_cast<double>(value(m_core->raft().commitIndex())) : 0);
    text.gauge("robinrail_routing_version", "Version of the routing document in force", static_cast<double>(document().table.version));
    text.gauge("robinrail_targets_known", "Targets in the directory", static_cast<double>(m_directory.size()));
    text.gauge("robinrail_balancer_links", "Balancers linked to this replica", static_cast<double>(m_links.acceptedFrom(NodeRole::Balancer).size()));
    text.counter("robinrail_announcements_total", "Announcements of targets", static_cast<double>(m_announcements));
    text.counter("robinrail_changes_total", "Routing documents proposed here", static_cast<double>(m_changes));
    text.counter("robinrail_storage_failures_total", "Times that the disk refused to work", static_cast<double>(m_storageFailures));
    text.counter("robinrail_drains_unanswered_total", "Drains that too few replicas confirmed", static_cast<double>(m_drainsUnanswered));
    text.counter("robinrail_log_lines_dropped_total", "Log lines that standard output could not take", static_cast<double>(droppedLogLines()));
    text.counter("robinrail_link_bytes_sent_total", "Bytes sent on links", static_cast<double>(m_links.bytesSent()));
    return text.text();
}

} // namespace Robinrail

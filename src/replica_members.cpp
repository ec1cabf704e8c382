// SPDX-License-Identifier: MIT
// Replica node: cluster membership and the Raft messages between members.
#include "log.h"
#include "replica_node.h"

namespace Robinrail {

std::set<ReplicaId> ReplicaNode::knownReplicas() const
{
    std::set<ReplicaId> known;
    for (const Endpoint &seed : m_file.seeds) {
        known.insert(ReplicaId{seed.address});
    }
    if (m_driver) {
        for (const ReplicaMember &member : raft().config().members) {
            known.insert(member.key.id);
        }
    }
    known.erase(m_self);
    return known;
}

void ReplicaNode::updateMembers()
{
    const ClusterConfig &config = raft().config();
    if (config == m_knownConfig) {
        return;
    }
    m_knownConfig = config;
    m_links.maintain(knownReplicas(), m_file.linkPort);
    std::string voters;
    for (const ReplicaMember &member : config.members) {
        voters += (voters.empty() ? "" : ",") + toText(member.key.id) + (member.voter ? "" : "(learner)");
    }
    m_replicaListDue = true;
    sendReplicaListIfDue(monotonicNow());
    LogLine(LogLevel::Info, "members-changed").with("members", voters).with("term", value(raft().term()));
}

// The first change after a pause is sent at once; further changes within ReplicaListInterval are combined into one message.
// When a fleet starts, each replica learns of all others within a second and has to inform hundreds of balancers.
void ReplicaNode::sendReplicaListIfDue(TimePoint now)
{
    if (m_replicaListDue && now >= m_nextReplicaList) {
        m_replicaListDue = false;
        m_nextReplicaList = now + ReplicaListInterval;
        m_links.sendAll(m_links.acceptedFrom(NodeRole::Balancer), replicaList());
    }
}

ReplicaList ReplicaNode::replicaList() const
{
    ReplicaList list{{{m_self, m_file.dataCentreId(m_file.dataCentre)}}};
    for (const ReplicaId replica : knownReplicas()) {
        const auto at = m_dataCentres.find(replica);
        list.replicas.push_back({replica, at != m_dataCentres.end() ? at->second : DataCentreId{0}});
    }
    return list;
}

// Sends join requests as long as no leader contacts this replica: it has a new disk, or it was removed from
// the configuration while it was away.
void ReplicaNode::requestJoin(TimePoint now)
{
    const bool alone = raft().role() == RaftRole::Joining || !raft().inContact(now);
    if (!alone || now < m_nextJoinRequest) {
        return;
    }
    m_nextJoinRequest = now + JoinRetryInterval;
    for (const ReplicaId replica : knownReplicas()) {
        sendRaft({{replica, 0}, JoinRequest{raft().self()}});
    }
}

void ReplicaNode::sendRaft(const RaftSend &send)
{
    if (const LinkHandle link = linkFor(send.to.id); link != 0) {
        m_links.send(link, m_driver->makeEnvelope(send));
    }
}

// The link for a message to a replica; 0 if there is none, so that the message is dropped. Dropped messages are
// counted, and a change of reachability is logged.
LinkHandle ReplicaNode::linkFor(ReplicaId replica)
{
    const LinkHandle link = m_links.linkTo(replica);
    const bool reached = link != 0;
    if (m_reachability.recordSend(replica, reached)) {
        LogLine(reached ? LogLevel::Info : LogLevel::Warning, reached ? "replica-reached" : "replica-unreached").with("replica", toText(replica));
    }
    return link;
}

void ReplicaNode::onRaft(const RaftEnvelope &envelope)
{
    const std::optional<RaftMessage> message = decodeMessage<RaftMessage>(envelope.message);
    if (!message) {
        ++m_refusedMessages;
        if (const auto leftOut = m_unreadableLogBudget.take(monotonicNow())) {
            LogLine(LogLevel::Error, "raft-message-unreadable").with("replica", toText(envelope.from.id)).with("left-out", *leftOut);
        }
        return;
    }
    if (!m_driver) {
        ++m_refusedMessages; // The storage failure was logged when it occurred.
        return;
    }
    if (const auto *join = std::get_if<JoinRequest>(&*message)) {
        return onJoin(envelope, *join);
    }
    const Admission admission = m_driver->admit(envelope);
    if (admission == Admission::StorageFailed) {
        return onStorageFailure(monotonicNow());
    }
    if (admission == Admission::Rejected) {
        ++m_refusedMessages; // For a former disk of this replica, or from another cluster, which admit() logs.
    }
    if (admission == Admission::Admitted) {
        m_driver->core().handle(monotonicNow(), envelope.from, *message);
        scheduleFlush();
    }
}

// Forwards a join request to the leader. Only requests that come from the joining replica itself are forwarded, so that
// they can't circulate.
void ReplicaNode::onJoin(const RaftEnvelope &envelope, const JoinRequest &join)
{
    const ReplicaKey leader = raft().leader();
    const bool firstHop = envelope.from == join.joiner;
    if (raft().role() != RaftRole::Leader && firstHop && value(leader.id) != 0) {
        return sendRaft({{leader.id, 0}, join});
    }
    m_driver->core().handle(monotonicNow(), envelope.from, join);
    scheduleFlush();
}

// Logs when this replica starts or stops lagging. A replica that is in contact with its leader but does not receive the
// committed entries looks healthy by its links and its leader.
void ReplicaNode::updateLagState(TimePoint now)
{
    const bool hearsLeader = m_driver && value(raft().leader().id) != 0 && raft().inContact(now);
    const bool caughtUp = m_driver && raft().caughtUp(now);
    const bool lags = (m_lagging || hearsLeader) && !caughtUp;
    if (lags == m_lagging) {
        return;
    }
    m_lagging = lags;
    LogLine line(lags ? LogLevel::Warning : LogLevel::Info, lags ? "replica-lags" : "replica-caught-up");
    if (m_driver) {
        line.with("leader", toText(raft().leader().id)).with("commit", value(raft().commitIndex())).with("last", value(raft().lastIndex()));
    }
}

// The metrics distinguish a member that lags from one that is unreachable.
void ReplicaNode::addRaftMetrics(PrometheusWriter &text) const
{
    const bool leads = m_driver && raft().role() == RaftRole::Leader;
    text.gauge("robinrail_replica_leader", "1 if this replica leads", leads ? 1 : 0);
    text.gauge("robinrail_replica_term", "Term of consensus", m_driver ? static_cast<double>(value(raft().term())) : 0);
    text.gauge("robinrail_replica_commit", "Index of the last committed entry", m_driver ? static_cast<double>(value(raft().commitIndex())) : 0);
    text.gauge("robinrail_replica_last", "Index of the last entry in the log", m_driver ? static_cast<double>(value(raft().lastIndex())) : 0);
    text.gauge("robinrail_replica_lags", "1 if it hears its leader and lacks what is committed", m_lagging ? 1 : 0);
    text.counter("robinrail_replica_unsent_total", "Messages of consensus for which there was no link", static_cast<double>(m_reachability.unsent()));
    text.counter("robinrail_replica_refused_total",
                 "Messages of consensus that could not be read or were for another disk or cluster",
                 static_cast<double>(m_refusedMessages));
    const std::vector<MemberProgress> members = m_driver ? raft().memberProgress() : std::vector<MemberProgress>();
    const auto describe = [&](const char *name, const char *help, LogIndex MemberProgress::*index) {
        for (const MemberProgress &member : members) {
            text.gauge(name, help, static_cast<double>(value(member.*index)), "replica=\"" + toText(member.key.id) + "\"");
        }
    };
    describe("robinrail_member_match", "Index that a member is known to hold, at the leader", &MemberProgress::match);
    describe("robinrail_member_next", "Index that a member is sent next, at the leader", &MemberProgress::next);
}

void ReplicaNode::logLeaderChange()
{
    const ReplicaKey leader = raft().leader();
    if (leader != m_loggedLeader) {
        m_loggedLeader = leader;
        LogLine(LogLevel::Info, "leader-changed")
            .with("leader", value(leader.id) != 0 ? toText(leader.id) : "none")
            .with("term", value(raft().term()))
            .with("commit", value(raft().commitIndex()));
    }
}

} // namespace Robinrail

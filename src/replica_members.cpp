// SPDX-License-Identifier: MIT
// Replica node: who belongs to the cluster, and the messages of consensus between its members.
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

void ReplicaNode::followMembers()
{
    const ClusterConfig &config = raft().config();
    if (config == m_followed) {
        return;
    }
    m_followed = config;
    m_links.maintain(knownReplicas(), m_file.linkPort);
    std::string voters;
    for (const ReplicaMember &member : config.members) {
        voters += (voters.empty() ? "" : ",") + toText(member.key.id) + (member.voter ? "" : "(learner)");
    }
    m_links.sendAll(m_links.acceptedFrom(NodeRole::Balancer), replicaList());
    LogLine(LogLevel::Info, "members-changed").with("members", voters).with("term", value(raft().term()));
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

// Asks to be taken in, as long as no leader speaks to this replica: its disk is new, or it was removed while
// it was away.
void ReplicaNode::rejoin(TimePoint now)
{
    const bool alone = raft().role() == RaftRole::Joining || !raft().inContact(now);
    if (!alone || now < m_nextJoin) {
        return;
    }
    m_nextJoin = now + RejoinInterval;
    for (const ReplicaId replica : knownReplicas()) {
        sendRaft({{replica, 0}, JoinRequest{raft().self()}});
    }
}

void ReplicaNode::sendRaft(const RaftSend &send)
{
    sendEnvelope(m_driver->envelopeOf(send));
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
    if (!message || !m_driver) {
        return;
    }
    if (const auto *join = std::get_if<JoinRequest>(&*message)) {
        return onJoin(envelope, *join);
    }
    const Admission admission = m_driver->admit(envelope);
    if (admission == Admission::DiskRefused) {
        return loseStorage(monotonicNow());
    }
    if (admission == Admission::Admitted) {
        m_driver->core().handle(monotonicNow(), envelope.from, *message);
        scheduleFlush();
    }
}

// A request to join goes on to the leader, once.
void ReplicaNode::onJoin(const RaftEnvelope &envelope, const JoinRequest &join)
{
    const ReplicaKey leader = raft().leader();
    const bool firstHop = envelope.from == join.joiner;
    if (raft().role() != RaftRole::Leader && firstHop && value(leader.id) != 0) {
        const RaftEnvelope onward = m_driver->envelopeOf({{leader.id, 0}, join});
        return sendEnvelope(onward);
    }
    m_driver->core().handle(monotonicNow(), envelope.from, join);
    scheduleFlush();
}

void ReplicaNode::logLeader()
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

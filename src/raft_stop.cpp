// SPDX-License-Identifier: MIT
// Raft core, planned stop: a stopping replica passes its leadership and its vote on (Ongaro 2014, sections 3.10 and 4.2).
#include "raft_core.h"

#include <algorithm>

namespace Robinrail {

namespace {

// Interval between the notices of a stopping replica, which may be lost.
constexpr Duration StopNoticeInterval = RaftHeartbeat;

} // namespace

// A stopping leader has its vote's successor promoted first, so that a single voter can hand over, too. It then passes the
// leadership on, and the next leader demotes it.
void RaftCore::beginStop(TimePoint now, Duration longest)
{
    if (!m_stopping) {
        m_stopping = true;
        m_stopDeadline = now + longest;
        m_nextStopNotice = now;
        continueStop(now);
    }
}

bool RaftCore::stopCompleted(TimePoint now) const
{
    if (!m_stopping) {
        return false;
    }
    if (m_stopRefused || now >= m_stopDeadline || !changesVoters()) {
        return true;
    }
    if (m_role == RaftRole::Leader) {
        return !handsOverVote(now, m_self);
    }
    if (configPending()) {
        return false;
    }
    const std::vector<ReplicaMember> &members = config().members;
    const bool anyLearner = std::any_of(members.begin(), members.end(), [](const ReplicaMember &member) {
        return !member.voter;
    });
    return !isVoter(m_self) || (!anyLearner && voterCount() <= m_policy.desiredVoters);
}

void RaftCore::continueStop(TimePoint now)
{
    if (!m_stopping) {
        return;
    }
    if (m_role == RaftRole::Leader) {
        return passLeadership(now);
    }
    if (value(m_leader.id) != 0 && now >= m_nextStopNotice) {
        m_nextStopNotice = now + StopNoticeInterval;
        send(m_leader, StopNotice{m_hard.term});
    }
}

// Followers stop waiting for this leader, so that they vote at once, and the successor needs no election time-out. It holds the
// whole log, as there are no further proposals.
void RaftCore::passLeadership(TimePoint now)
{
    const bool settled = !configPending() && m_commit == lastIndex() && termAt(m_commit) == m_hard.term;
    if (!settled || !changesVoters() || voterCount() <= m_policy.desiredVoters) {
        return;
    }
    const std::vector<ReplicaMember> members = config().members;
    const auto successor = std::find_if(members.begin(), members.end(), [&](const ReplicaMember &member) {
        const auto progress = m_progress.find(member.key);
        return member.voter && progress != m_progress.end() && staysVoter(now, member) && progress->second.match == lastIndex();
    });
    if (successor == members.end()) {
        return;
    }
    for (const ReplicaMember &member : members) {
        if (member.voter && member.key != m_self) {
            send(member.key, LeaderStop{m_hard.term, successor->key});
        }
    }
    becomeFollower(now, m_hard.term, {});
    m_leaderLastHeard = now - ElectionTimeout;
}

void RaftCore::onLeaderStop(TimePoint now, ReplicaKey from, const LeaderStop &stop)
{
    if (stop.term != m_hard.term || from != m_leader) {
        return;
    }
    m_stoppingMembers[from] = now;
    m_leader = {};
    m_leaderLastHeard = now - ElectionTimeout;
    if (stop.successor == m_self && isVoter(m_self)) {
        resetElectionTimer(now);
        campaign(now, false);
    }
}

void RaftCore::onStopNotice(TimePoint now, ReplicaKey from)
{
    if (m_role == RaftRole::Leader) {
        m_stoppingMembers[from] = now;
        send(from, StopReply{m_hard.term, handsOverVote(now, from)});
    }
}

void RaftCore::onStopReply(ReplicaKey from, const StopReply &reply)
{
    if (m_stopping && from == m_leader && reply.term == m_hard.term && !reply.handsOver) {
        m_stopRefused = true;
    }
}

// Whether a stopping replica has to wait, as this leader is going to pass its vote on.
bool RaftCore::handsOverVote(TimePoint now, ReplicaKey stopping) const
{
    if (!changesVoters()) {
        return false;
    }
    if (configPending() || termAt(m_commit) != m_hard.term) {
        return true;
    }
    if (!isVoter(stopping)) {
        return false;
    }
    if (voterCount() > m_policy.desiredVoters) {
        return true;
    }
    const std::vector<ReplicaMember> &members = config().members;
    return canReplaceStoppingVoters(now) && std::any_of(members.begin(), members.end(), [&](const ReplicaMember &member) {
               return readyForPromotion(now, member) || awaitsFirstReply(now, member);
           });
}

// Whether a new leader does not know yet if a learner has caught up.
bool RaftCore::awaitsFirstReply(TimePoint now, const ReplicaMember &member) const
{
    const auto progress = m_progress.find(member.key);
    return !member.voter && progress != m_progress.end() && progress->second.match == LogIndex{0} && !isStopping(now, member.key)
        && now - m_leaderSince < ElectionTimeout;
}

// When most voters stop, as in a shutdown of all replicas, none is replaced: the spares may be stopping as well, and the votes of
// those that do not return would then outnumber the others.
bool RaftCore::canReplaceStoppingVoters(TimePoint now) const
{
    const std::vector<ReplicaMember> &members = config().members;
    const auto staying = std::count_if(members.begin(), members.end(), [&](const ReplicaMember &member) {
        return member.voter && staysVoter(now, member);
    });
    return static_cast<std::size_t>(staying) >= voterCount() / 2;
}

bool RaftCore::staysVoter(TimePoint now, const ReplicaMember &member) const
{
    const auto progress = m_progress.find(member.key);
    const bool heard = member.key == m_self || (progress != m_progress.end() && now - progress->second.lastHeard < ElectionTimeout);
    return heard && !isStopping(now, member.key);
}

bool RaftCore::isStopping(TimePoint now, ReplicaKey key) const
{
    if (key == m_self) {
        return m_stopping;
    }
    // A learner that stops ends at once, so a learner that is still heard after an election time-out has been restarted.
    const auto noticed = m_stoppingMembers.find(key);
    return noticed != m_stoppingMembers.end() && now - noticed->second < (isVoter(key) ? StopNoticeLifetime : ElectionTimeout);
}

// Whether the cluster replaces voters by spares.
bool RaftCore::changesVoters() const
{
    return m_policy.voterTimeout > Duration{0};
}

} // namespace Robinrail

// SPDX-License-Identifier: MIT
// Raft core, elections: time-outs, votes and role changes (Ongaro 2014, section 3.4; pre-vote, section 9.6).
#include "raft_core.h"

#include <boost/random/uniform_int_distribution.hpp>

#include <cassert>

namespace Robinrail {

void RaftCore::tick(TimePoint now)
{
    // After a pause of this process, queued messages are stale although they are only being read now.
    const bool stoodStill = now - std::exchange(m_lastTick, now) >= ElectionTimeout;
    if (m_role == RaftRole::Leader) {
        if (stoodStill || !heardFromQuorum(now)) {
            // Check-quorum (section 6.2): a leader that is partitioned from the quorum steps down.
            becomeFollower(now, m_hard.term, {});
            return;
        }
        if (now >= m_nextHeartbeat) {
            broadcast(now);
        }
        updateMembership(now);
        continueStop(now);
        return;
    }
    continueStop(now);
    if (now < m_electionDeadline) {
        return;
    }
    resetElectionTimer(now);
    if (isVoter(m_self)) {
        campaign(now, true);
    }
}

// A pre-vote checks whether an election could be won, without raising the term and thereby deposing a leader that others still hear.
void RaftCore::campaign(TimePoint now, bool preVote)
{
    m_role = preVote ? RaftRole::PreCandidate : RaftRole::Candidate;
    m_leader = {};
    m_votes = {m_self};
    const Term term{value(m_hard.term) + 1};
    if (!preVote) {
        setTerm(term, m_self);
    }
    if (isQuorum(m_votes.size())) {
        return preVote ? campaign(now, false) : becomeLeader(now);
    }
    for (const ReplicaMember &member : config().members) {
        if (member.voter && member.key != m_self) {
            send(member.key, VoteRequest{term, preVote, lastIndex(), lastTerm()});
        }
    }
}

void RaftCore::onVoteRequest(TimePoint now, ReplicaKey from, const VoteRequest &request)
{
    const bool leaderAlive = m_role == RaftRole::Leader || now - m_leaderLastHeard < ElectionTimeout;
    if (leaderAlive && m_leader != from) {
        return; // Votes are ignored while a leader is heard, so that a removed or partitioned replica can't disrupt it (section 4.2.3).
    }
    if (request.term < m_hard.term) {
        return send(from, VoteReply{m_hard.term, request.preVote, false});
    }
    const bool upToDate = std::pair(request.lastTerm, request.lastIndex) >= std::pair(lastTerm(), lastIndex());
    if (request.preVote) {
        const bool granted = upToDate && request.term > m_hard.term;
        return send(from, VoteReply{granted ? request.term : m_hard.term, true, granted});
    }
    if (request.term > m_hard.term) {
        becomeFollower(now, request.term, {});
    }
    const bool free = value(m_hard.votedFor.id) == 0 || m_hard.votedFor == from;
    // Not checked against the local configuration, which may lag: the candidate counts only voters of its own configuration.
    const bool granted = upToDate && free;
    if (granted) {
        setTerm(m_hard.term, from);
        resetElectionTimer(now);
    }
    send(from, VoteReply{m_hard.term, false, granted});
}

void RaftCore::onVoteReply(TimePoint now, ReplicaKey from, const VoteReply &reply)
{
    const Term asked{value(m_hard.term) + (reply.preVote ? 1 : 0)};
    if (reply.term > asked || (!reply.granted && reply.term > m_hard.term)) {
        return becomeFollower(now, reply.term, {});
    }
    const RaftRole wanted = reply.preVote ? RaftRole::PreCandidate : RaftRole::Candidate;
    if (m_role != wanted || reply.term != asked || !reply.granted || !isVoter(from)) {
        return;
    }
    m_votes.insert(from);
    if (isQuorum(m_votes.size())) {
        reply.preVote ? campaign(now, false) : becomeLeader(now);
    }
}

void RaftCore::becomeFollower(TimePoint now, Term term, ReplicaKey leader)
{
    if (term > m_hard.term) {
        setTerm(term, {});
    }
    if (m_role == RaftRole::Leader) {
        m_progress.clear();
        m_reads.clear();
    }
    m_role = m_configs.empty() ? RaftRole::Joining : RaftRole::Follower;
    m_leader = leader;
    resetElectionTimer(now);
}

void RaftCore::becomeLeader(TimePoint now)
{
    m_role = RaftRole::Leader;
    m_leader = m_self;
    m_leaderSince = now;
    m_progress.clear();
    m_reads.clear();
    for (const ReplicaMember &member : config().members) {
        if (member.key != m_self) {
            m_progress[member.key] = {LogIndex{0}, next(lastIndex()), 0, now, {}};
        }
    }
    append(EntryKind::Noop, {});
    broadcast(now);
}

void RaftCore::resetElectionTimer(TimePoint now)
{
    boost::random::uniform_int_distribution<std::int64_t> spread(0, ElectionTimeout.count());
    m_electionDeadline = now + ElectionTimeout + Duration(spread(m_random));
}

void RaftCore::setTerm(Term term, ReplicaKey votedFor)
{
    assert(term >= m_hard.term);
    const HardState hard{term, votedFor};
    if (hard != m_hard) {
        m_hard = hard;
        m_output.hard = hard;
    }
}

} // namespace Robinrail

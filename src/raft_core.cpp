// SPDX-License-Identifier: MIT
// Raft core: construction, message dispatch, linearizable reads and accessors.
#include "raft_core.h"

#include "codec.h"

#include <boost/random/uniform_int_distribution.hpp>

#include <algorithm>
#include <cassert>

namespace Robinrail {

RaftCore::RaftCore(ReplicaKey self, PersistentRaftState durable, TimePoint now, std::uint32_t seed, RaftPolicy policy)
    : m_self(self)
    , m_policy(policy)
    , m_random(seed)
    , m_hard(durable.hard)
    , m_log(std::move(durable.log))
{
    if (durable.snapshot) {
        m_snapshot = std::move(*durable.snapshot);
        m_configs.push_back({m_snapshot.index, m_snapshot.config});
    }
    m_commit = m_snapshot.index;
    m_applied = m_snapshot.index;
    for (const LogEntry &entry : m_log) {
        adoptConfig(entry);
    }
    m_role = m_configs.empty() ? RaftRole::Joining : RaftRole::Follower;
    m_leaderLastHeard = now - ElectionTimeout;
    m_lastCaughtUp = now - ElectionTimeout * 2;
    m_lastTick = now;
    boost::random::uniform_int_distribution<std::int64_t> spread(FirstElectionTimeout.count() / 3, FirstElectionTimeout.count());
    m_electionDeadline = now + Duration(spread(m_random));
    commitTo(std::min(durable.committed, lastIndex()));
}

PersistentRaftState RaftCore::bootstrap(ReplicaKey self, Bytes firstCommand)
{
    return bootstrap(std::span(&self, 1), std::move(firstCommand));
}

PersistentRaftState RaftCore::bootstrap(std::span<const ReplicaKey> voters, Bytes firstCommand)
{
    ClusterConfig config;
    for (const ReplicaKey &voter : voters) {
        config.members.push_back({voter, true});
    }
    PersistentRaftState durable;
    durable.hard.term = Term{1};
    durable.log.push_back({Term{1}, LogIndex{1}, EntryKind::Config, encodeClusterConfig(config)});
    if (!firstCommand.empty()) {
        durable.log.push_back({Term{1}, LogIndex{2}, EntryKind::Command, std::move(firstCommand)});
    }
    return durable;
}

void RaftCore::setDataCentre(ReplicaId replica, DataCentreId dataCentre)
{
    m_dataCentres[replica] = dataCentre;
}

// ---- Messages ----

void RaftCore::handle(TimePoint now, ReplicaKey from, const RaftMessage &message)
{
    std::visit(
        [&](const auto &typed) {
            using Typed = std::decay_t<decltype(typed)>;
            if constexpr (std::is_same_v<Typed, VoteRequest>) {
                onVoteRequest(now, from, typed);
            } else if constexpr (std::is_same_v<Typed, VoteReply>) {
                onVoteReply(now, from, typed);
            } else if constexpr (std::is_same_v<Typed, AppendRequest>) {
                onAppend(now, from, typed);
            } else if constexpr (std::is_same_v<Typed, AppendReply>) {
                onAppendReply(now, from, typed);
            } else if constexpr (std::is_same_v<Typed, InstallSnapshot>) {
                onSnapshot(now, from, typed);
            } else if constexpr (std::is_same_v<Typed, JoinRequest>) {
                onJoin(now, typed);
            } else if constexpr (std::is_same_v<Typed, StopNotice>) {
                onStopNotice(now, from);
            } else if constexpr (std::is_same_v<Typed, StopReply>) {
                onStopReply(from, typed);
            } else {
                onLeaderStop(now, from, typed);
            }
        },
        message);
    continueStop(now);
}

void RaftCore::onJoin(TimePoint now, const JoinRequest &request)
{
    if (m_role != RaftRole::Leader) {
        return;
    }
    // A pending request from before the replica lost its disk is obsolete and must not be granted.
    std::erase_if(m_joiners, [&request](const auto &joiner) {
        return joiner.first.id == request.joiner.id;
    });
    m_joiners[request.joiner] = now;
}

// ---- Reads ----

bool RaftCore::requestRead(TimePoint now, std::uint64_t ticket)
{
    if (m_role != RaftRole::Leader || termAt(m_commit) != m_hard.term) {
        return false;
    }
    broadcast(now);
    m_reads.push_back({ticket, m_round, m_commit});
    confirmReads();
    return true;
}

void RaftCore::confirmReads()
{
    std::erase_if(m_reads, [this](const PendingRead &read) {
        std::size_t confirmed = 0;
        for (const ReplicaMember &member : config().members) {
            const auto at = m_progress.find(member.key);
            const bool acked = member.key == m_self || (at != m_progress.end() && at->second.ackedRound >= read.round);
            confirmed += member.voter && acked ? 1 : 0;
        }
        if (!isQuorum(confirmed)) {
            return false;
        }
        m_output.reads.push_back({read.ticket, read.index});
        return true;
    });
}

// ---- Accessors ----

RaftOutput RaftCore::takeOutput()
{
    return std::exchange(m_output, {});
}

RaftRole RaftCore::role() const
{
    return m_role;
}

ReplicaKey RaftCore::self() const
{
    return m_self;
}

ReplicaKey RaftCore::leader() const
{
    return m_leader;
}

Term RaftCore::term() const
{
    return m_hard.term;
}

LogIndex RaftCore::commitIndex() const
{
    return m_commit;
}

LogIndex RaftCore::lastIndex() const
{
    return m_log.empty() ? m_snapshot.index : m_log.back().index;
}

LogIndex RaftCore::firstIndex() const
{
    return next(m_snapshot.index);
}

const ClusterConfig &RaftCore::config() const
{
    static const ClusterConfig Empty;
    return m_configs.empty() ? Empty : m_configs.back().config;
}

bool RaftCore::configCommitted() const
{
    return !configPending();
}

const Snapshot &RaftCore::snapshot() const
{
    return m_snapshot;
}

const HardState &RaftCore::hardState() const
{
    return m_hard;
}

std::span<const LogEntry> RaftCore::log() const
{
    return m_log;
}

bool RaftCore::isVoter(ReplicaKey key) const
{
    const std::vector<ReplicaMember> &members = config().members;
    return std::any_of(members.begin(), members.end(), [key](const ReplicaMember &member) {
        return member.voter && member.key == key;
    });
}

std::vector<MemberProgress> RaftCore::memberProgress() const
{
    std::vector<MemberProgress> members;
    for (const auto &[key, progress] : m_progress) {
        members.push_back({key, progress.match, progress.next, progress.lastHeard});
    }
    return members;
}

bool RaftCore::inContact(TimePoint now) const
{
    return m_role == RaftRole::Leader ? heardFromQuorum(now) : now - m_leaderLastHeard < ElectionTimeout * 2;
}

bool RaftCore::caughtUp(TimePoint now) const
{
    return m_role == RaftRole::Leader ? heardFromQuorum(now) : now - m_lastCaughtUp < ElectionTimeout * 2;
}

const LogEntry *RaftCore::entryAt(LogIndex index) const
{
    if (index <= m_snapshot.index || index > lastIndex()) {
        return nullptr;
    }
    const LogEntry &entry = m_log[value(index) - value(m_snapshot.index) - 1];
    assert(entry.index == index);
    return &entry;
}

std::size_t RaftCore::voterCount() const
{
    const std::vector<ReplicaMember> &members = config().members;
    return static_cast<std::size_t>(std::count_if(members.begin(), members.end(), [](const ReplicaMember &member) {
        return member.voter;
    }));
}

bool RaftCore::isQuorum(std::size_t count) const
{
    return count > voterCount() / 2;
}

bool RaftCore::heardFromQuorum(TimePoint now) const
{
    std::size_t heard = 0;
    for (const ReplicaMember &member : config().members) {
        const auto at = m_progress.find(member.key);
        const bool recent = member.key == m_self || (at != m_progress.end() && now - at->second.lastHeard < ElectionTimeout * 2);
        heard += member.voter && recent ? 1 : 0;
    }
    return isQuorum(heard);
}

Term RaftCore::termAt(LogIndex index) const
{
    if (index == m_snapshot.index) {
        return m_snapshot.term;
    }
    const LogEntry *entry = entryAt(index);
    return entry != nullptr ? entry->term : Term{0};
}

Term RaftCore::lastTerm() const
{
    return termAt(lastIndex());
}

void RaftCore::send(ReplicaKey to, RaftMessage message)
{
    m_output.sends.push_back({to, std::move(message)});
}

} // namespace Robinrail

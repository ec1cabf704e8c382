// SPDX-License-Identifier: MIT
// Raft core: implementation.
#include "raft_core.h"

#include "codec.h"

#include <boost/random/uniform_int_distribution.hpp>

#include <algorithm>
#include <cassert>

namespace Robinrail {

namespace {

// A snapshot that was not confirmed is sent again after this time.
constexpr Duration SnapshotRetry = std::chrono::seconds(1);

LogIndex next(LogIndex index)
{
    return LogIndex{value(index) + 1};
}

LogIndex previous(LogIndex index)
{
    return LogIndex{value(index) - 1};
}

} // namespace

RaftCore::RaftCore(ReplicaKey self, RaftDurable durable, TimePoint now, std::uint32_t seed, RaftPolicy policy)
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
    m_leaderHeard = now - ElectionTimeout;
    m_ticked = now;
    boost::random::uniform_int_distribution<std::int64_t> spread(FirstElectionTimeout.count() / 3, FirstElectionTimeout.count());
    m_electionDue = now + Duration(spread(m_random));
    commitTo(std::min(durable.committed, lastIndex()));
}

RaftDurable RaftCore::bootstrap(ReplicaKey self, Bytes firstCommand)
{
    return bootstrap(std::span(&self, 1), std::move(firstCommand));
}

RaftDurable RaftCore::bootstrap(std::span<const ReplicaKey> voters, Bytes firstCommand)
{
    ClusterConfig config;
    for (const ReplicaKey &voter : voters) {
        config.members.push_back({voter, true});
    }
    RaftDurable durable;
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

// ---- Time and elections ----

void RaftCore::tick(TimePoint now)
{
    // After a standstill of this process, what it heard of the others is old although it reads it only now.
    const bool stoodStill = now - std::exchange(m_ticked, now) >= ElectionTimeout;
    if (m_role == RaftRole::Leader) {
        if (stoodStill || !heardFromQuorum(now)) {
            // Check-quorum: a leader that is cut off stops believing that it leads.
            becomeFollower(now, m_hard.term, {});
            return;
        }
        if (now >= m_heartbeatDue) {
            broadcast(now);
        }
        maintainMembers(now);
        return;
    }
    if (now < m_electionDue) {
        return;
    }
    resetElectionTimer(now);
    if (isVoter(m_self)) {
        campaign(now, true);
    }
}

// A pre-vote asks whether an election could be won without disturbing a leader that others still hear.
void RaftCore::campaign(TimePoint now, bool preVote)
{
    m_role = preVote ? RaftRole::PreCandidate : RaftRole::Candidate;
    m_leader = {};
    m_votes = {m_self};
    const Term term{value(m_hard.term) + 1};
    if (!preVote) {
        setTerm(term, m_self);
    }
    if (quorum(m_votes.size())) {
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
    const bool leaderAlive = m_role == RaftRole::Leader || now - m_leaderHeard < ElectionTimeout;
    if (leaderAlive && m_leader != from) {
        return; // Nobody may depose a leader that is heard (section 4.2.3).
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
    // The own configuration may lag, so it is not asked: only voters of the candidate's are counted there.
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
    if (quorum(m_votes.size())) {
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
    m_electionDue = now + ElectionTimeout + Duration(spread(m_random));
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
            } else {
                onJoin(now, typed);
            }
        },
        message);
}

void RaftCore::onAppend(TimePoint now, ReplicaKey from, const AppendRequest &request)
{
    if (request.term < m_hard.term) {
        return send(from, AppendReply{m_hard.term, false, LogIndex{0}, request.round});
    }
    becomeFollower(now, request.term, from);
    m_leaderHeard = now;
    if (request.previousIndex > lastIndex()) {
        return send(from, AppendReply{m_hard.term, false, lastIndex(), request.round});
    }
    std::span<const LogEntry> entries = request.entries;
    LogIndex previousIndex = request.previousIndex;
    // What the snapshot covers is committed and agrees.
    while (previousIndex < m_snapshot.index && !entries.empty()) {
        previousIndex = entries.front().index;
        entries = entries.subspan(1);
    }
    if (previousIndex < m_snapshot.index) {
        return send(from, AppendReply{m_hard.term, true, m_snapshot.index, request.round});
    }
    if (request.previousIndex >= m_snapshot.index && termAt(request.previousIndex) != request.previousTerm) {
        assert(request.previousIndex > m_commit);
        return send(from, AppendReply{m_hard.term, false, m_commit, request.round});
    }
    storeEntries(entries);
    const LogIndex agreed = request.entries.empty() ? previousIndex : std::max(previousIndex, request.entries.back().index);
    commitTo(std::min(request.commit, agreed));
    send(from, AppendReply{m_hard.term, true, agreed, request.round});
}

void RaftCore::storeEntries(std::span<const LogEntry> entries)
{
    for (const LogEntry &entry : entries) {
        if (entry.index <= lastIndex()) {
            if (termAt(entry.index) == entry.term) {
                continue;
            }
            assert(entry.index > m_commit);
            truncateFrom(entry.index);
        }
        m_log.push_back(entry);
        m_output.entries.push_back(entry);
        adoptConfig(entry);
    }
}

void RaftCore::truncateFrom(LogIndex index)
{
    std::erase_if(m_log, [index](const LogEntry &entry) {
        return entry.index >= index;
    });
    std::erase_if(m_output.entries, [index](const LogEntry &entry) {
        return entry.index >= index;
    });
    std::erase_if(m_configs, [index](const ConfigAt &at) {
        return at.index >= index;
    });
}

void RaftCore::onAppendReply(TimePoint now, ReplicaKey from, const AppendReply &reply)
{
    if (reply.term > m_hard.term) {
        return becomeFollower(now, reply.term, {});
    }
    const auto at = m_progress.find(from);
    if (m_role != RaftRole::Leader || reply.term < m_hard.term || at == m_progress.end()) {
        return;
    }
    Progress &progress = at->second;
    progress.lastHeard = now;
    progress.ackedRound = std::max(progress.ackedRound, reply.round);
    if (!reply.success) {
        progress.next = std::max(next(progress.match), std::min(progress.next, next(reply.index)));
        sendAppend(now, from, progress);
        return confirmReads();
    }
    progress.match = std::max(progress.match, reply.index);
    progress.next = std::max(progress.next, next(progress.match));
    progress.snapshotSent = {};
    advanceCommit();
    confirmReads();
    if (m_role == RaftRole::Leader && progress.next <= lastIndex()) {
        sendAppend(now, from, progress);
    }
}

void RaftCore::onSnapshot(TimePoint now, ReplicaKey from, const InstallSnapshot &install)
{
    if (install.term < m_hard.term) {
        return send(from, AppendReply{m_hard.term, false, LogIndex{0}, install.round});
    }
    becomeFollower(now, install.term, from);
    m_leaderHeard = now;
    const LogIndex covered = install.snapshot.index;
    if (covered > m_commit && covered <= lastIndex() && termAt(covered) == install.snapshot.term) {
        // The log agrees and may hold more that was confirmed; nothing of it may be dropped.
        commitTo(covered);
    } else if (covered > m_commit) {
        m_snapshot = install.snapshot;
        m_log.clear();
        m_output.entries.clear();
        m_output.committed.clear();
        m_configs = {{m_snapshot.index, m_snapshot.config}};
        m_commit = m_snapshot.index;
        m_applied = m_snapshot.index;
        m_output.snapshot = m_snapshot;
        m_role = RaftRole::Follower;
    }
    send(from, AppendReply{m_hard.term, true, m_commit, install.round});
}

void RaftCore::onJoin(TimePoint now, const JoinRequest &request)
{
    if (m_role != RaftRole::Leader) {
        return;
    }
    // A request from before the replica lost its disk must not be taken up any more.
    std::erase_if(m_joiners, [&request](const auto &joiner) {
        return joiner.first.id == request.joiner.id;
    });
    m_joiners[request.joiner] = now;
}

// ---- Log and commit ----

std::optional<LogIndex> RaftCore::propose(TimePoint now, Bytes command)
{
    if (m_role != RaftRole::Leader) {
        return std::nullopt;
    }
    const LogIndex index = append(EntryKind::Command, std::move(command));
    broadcast(now);
    return index;
}

LogIndex RaftCore::append(EntryKind kind, Bytes data)
{
    LogEntry entry;
    entry.term = m_hard.term;
    entry.index = next(lastIndex());
    entry.kind = kind;
    entry.data = std::move(data);
    m_log.push_back(entry);
    m_output.entries.push_back(entry);
    adoptConfig(entry);
    advanceCommit();
    return entry.index;
}

void RaftCore::adoptConfig(const LogEntry &entry)
{
    if (entry.kind == EntryKind::Config) {
        m_configs.push_back({entry.index, decodeClusterConfig(entry.data)});
    }
}

void RaftCore::broadcast(TimePoint now)
{
    ++m_round;
    m_heartbeatDue = now + RaftHeartbeat;
    for (auto &[key, progress] : m_progress) {
        sendAppend(now, key, progress);
    }
}

void RaftCore::sendAppend(TimePoint now, ReplicaKey to, Progress &progress)
{
    if (progress.next <= m_snapshot.index) {
        return sendSnapshot(now, to, progress);
    }
    AppendRequest request;
    request.term = m_hard.term;
    request.previousIndex = previous(progress.next);
    request.previousTerm = termAt(request.previousIndex);
    request.commit = m_commit;
    request.round = m_round;
    std::size_t bytes = 0;
    for (LogIndex index = progress.next; index <= lastIndex(); index = next(index)) {
        const LogEntry &entry = *entryAt(index);
        if (request.entries.size() >= MaxEntriesPerAppend || (bytes > 0 && bytes + entry.data.size() > MaxAppendBytes)) {
            break;
        }
        bytes += entry.data.size();
        request.entries.push_back(entry);
    }
    if (!request.entries.empty()) {
        // Sent optimistically; a refusal or the next heartbeat's reply moves it back.
        progress.next = next(request.entries.back().index);
    }
    send(to, std::move(request));
}

void RaftCore::sendSnapshot(TimePoint now, ReplicaKey to, Progress &progress)
{
    if (progress.snapshotSent != TimePoint{} && now - progress.snapshotSent < SnapshotRetry) {
        return;
    }
    progress.snapshotSent = now;
    send(to, InstallSnapshot{m_hard.term, m_round, m_snapshot});
}

// An entry is committed when a quorum has it, and only counted in the leader's own term (section 3.6.2).
void RaftCore::advanceCommit()
{
    if (m_role != RaftRole::Leader) {
        return;
    }
    std::vector<LogIndex> matches;
    for (const ReplicaMember &member : config().members) {
        if (member.voter) {
            const auto at = m_progress.find(member.key);
            matches.push_back(member.key == m_self ? lastIndex() : at != m_progress.end() ? at->second.match : LogIndex{0});
        }
    }
    if (matches.empty()) {
        return;
    }
    std::sort(matches.begin(), matches.end(), std::greater<>());
    const std::size_t majority = matches.size() / 2 + 1;
    const std::size_t copies = std::clamp(m_policy.copies, majority, matches.size());
    const LogIndex agreed = matches[copies - 1];
    if (agreed > m_commit && termAt(agreed) == m_hard.term) {
        commitTo(agreed);
    }
}

void RaftCore::commitTo(LogIndex index)
{
    if (index <= m_commit) {
        return;
    }
    assert(index <= lastIndex());
    m_commit = index;
    while (m_applied < m_commit) {
        m_applied = next(m_applied);
        m_output.committed.push_back(*entryAt(m_applied));
    }
}

void RaftCore::compact(LogIndex index, Bytes state)
{
    assert(index <= m_applied);
    if (index <= m_snapshot.index) {
        return;
    }
    Snapshot snapshot;
    snapshot.index = index;
    snapshot.term = termAt(index);
    snapshot.state = std::move(state);
    for (const ConfigAt &at : m_configs) {
        if (at.index <= index) {
            snapshot.config = at.config;
        }
    }
    std::erase_if(m_log, [index](const LogEntry &entry) {
        return entry.index <= index;
    });
    std::erase_if(m_configs, [index](const ConfigAt &at) {
        return at.index <= index;
    });
    m_configs.insert(m_configs.begin(), {index, snapshot.config});
    m_snapshot = std::move(snapshot);
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
        if (!quorum(confirmed)) {
            return false;
        }
        m_output.reads.push_back({read.ticket, read.index});
        return true;
    });
}

// ---- Small questions ----

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

bool RaftCore::inContact(TimePoint now) const
{
    return m_role == RaftRole::Leader ? heardFromQuorum(now) : now - m_leaderHeard < ElectionTimeout * 2;
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

bool RaftCore::quorum(std::size_t count) const
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
    return quorum(heard);
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

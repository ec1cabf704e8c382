// SPDX-License-Identifier: MIT
// Raft core, replication: log, append requests, commit index and snapshots (Ongaro 2014, sections 3.5 to 3.7 and 5).
#include "raft_core.h"

#include <algorithm>
#include <cassert>

namespace Robinrail {

namespace {

// An unacknowledged snapshot is sent again after this time.
constexpr Duration SnapshotRetryInterval = std::chrono::seconds(1);

} // namespace

void RaftCore::onAppend(TimePoint now, ReplicaKey from, const AppendRequest &request)
{
    if (request.term < m_hard.term) {
        return send(from, AppendReply{m_hard.term, false, LogIndex{0}, request.round});
    }
    becomeFollower(now, request.term, from);
    m_leaderLastHeard = now;
    if (request.previousIndex > lastIndex()) {
        return send(from, AppendReply{m_hard.term, false, lastIndex(), request.round});
    }
    std::span<const LogEntry> entries = request.entries;
    LogIndex previousIndex = request.previousIndex;
    // Entries covered by the snapshot are committed and therefore match; skip them.
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
    if (m_commit >= request.commit) {
        m_lastCaughtUp = now;
    }
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
    m_leaderLastHeard = now;
    const LogIndex covered = install.snapshot.index;
    if (covered > m_commit && covered <= lastIndex() && termAt(covered) == install.snapshot.term) {
        // The log matches and may hold further entries that were acknowledged to the leader; these must be kept.
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

std::optional<LogIndex> RaftCore::propose(TimePoint now, Bytes command)
{
    // A stopping leader takes no more changes: the log of its successor would never be complete.
    if (m_role != RaftRole::Leader || m_stopping) {
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
    m_nextHeartbeat = now + RaftHeartbeat;
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
        // Pipelining: advanced optimistically, and moved back when the follower rejects an append or heartbeat.
        progress.next = next(request.entries.back().index);
    }
    send(to, std::move(request));
}

void RaftCore::sendSnapshot(TimePoint now, ReplicaKey to, Progress &progress)
{
    if (progress.snapshotSent != TimePoint{} && now - progress.snapshotSent < SnapshotRetryInterval) {
        return;
    }
    progress.snapshotSent = now;
    send(to, InstallSnapshot{m_hard.term, m_round, m_snapshot});
}

// Commits what max(majority, minCopies) voters hold, and only entries of the leader's own term directly (section 3.6.2).
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
    const std::size_t minCopies = std::clamp(m_policy.minCopies, majority, matches.size());
    const LogIndex agreed = matches[minCopies - 1];
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

} // namespace Robinrail

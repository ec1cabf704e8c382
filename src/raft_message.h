// SPDX-License-Identifier: MIT
// Raft messages: log entries, cluster configuration and the messages between replicas.
#pragma once

#include "types.h"

#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace Robinrail {

enum class Term : std::uint64_t {};
enum class LogIndex : std::uint64_t {};

constexpr LogIndex next(LogIndex index)
{
    return LogIndex{static_cast<std::uint64_t>(index) + 1};
}

constexpr LogIndex previous(LogIndex index)
{
    return LogIndex{static_cast<std::uint64_t>(index) - 1};
}

// A replica id together with the number of the disk that holds its vote and its log. A replica that lost its
// disk gets a new disk number and thereby counts as a different voter, so it can't vote twice in a term
// after losing its state.
struct ReplicaKey {
    ReplicaId id{};
    std::uint64_t disk = 0;

    auto operator<=>(const ReplicaKey &) const = default;

    auto fields()
    {
        return std::tie(id, disk);
    }
};

struct ReplicaMember {
    ReplicaKey key;
    bool voter = false; // Otherwise a learner: it receives the log but counts in no quorum.

    bool operator==(const ReplicaMember &) const = default;

    auto fields()
    {
        return std::tie(key, voter);
    }
};

// Members of the cluster. In force as soon as its entry is in the log, committed or not (Ongaro 2014, section 4.1).
struct ClusterConfig {
    std::vector<ReplicaMember> members;

    bool operator==(const ClusterConfig &) const = default;

    auto fields()
    {
        return std::tie(members);
    }
};

enum class EntryKind : std::uint8_t {
    Command,
    Config,
    Noop, // First entry of a term; committing it commits the entries of earlier terms.
};

struct LogEntry {
    Term term{};
    LogIndex index{};
    EntryKind kind = EntryKind::Noop;
    Bytes data; // A command, or an encoded ClusterConfig.

    bool operator==(const LogEntry &) const = default;

    auto fields()
    {
        return std::tie(term, index, kind, data);
    }
};

// Term and vote, which must be synced before a replica sends any message that depends on them.
struct HardState {
    Term term{};
    ReplicaKey votedFor; // Replica id 0: no vote in this term.

    bool operator==(const HardState &) const = default;

    auto fields()
    {
        return std::tie(term, votedFor);
    }
};

// State of the state machine at an index, with the configuration in force there.
struct Snapshot {
    LogIndex index{};
    Term term{};
    ClusterConfig config;
    Bytes state;

    auto fields()
    {
        return std::tie(index, term, config, state);
    }
};

struct VoteRequest {
    Term term{};
    bool preVote = false;
    LogIndex lastIndex{};
    Term lastTerm{};

    auto fields()
    {
        return std::tie(term, preVote, lastIndex, lastTerm);
    }
};

struct VoteReply {
    Term term{};
    bool preVote = false;
    bool granted = false;

    auto fields()
    {
        return std::tie(term, preVote, granted);
    }
};

// Entries after (previousIndex, previousTerm); a heartbeat if empty. `round` numbers the leader's
// broadcasts: a quorum of replies to a round proves that it was still the leader at that broadcast.
struct AppendRequest {
    Term term{};
    LogIndex previousIndex{};
    Term previousTerm{};
    LogIndex commit{};
    std::uint64_t round = 0;
    std::vector<LogEntry> entries;

    auto fields()
    {
        return std::tie(term, previousIndex, previousTerm, commit, round, entries);
    }
};

// On success the log is synced up to `index`; otherwise `index` is the highest one at which the logs may match.
struct AppendReply {
    Term term{};
    bool success = false;
    LogIndex index{};
    std::uint64_t round = 0;

    auto fields()
    {
        return std::tie(term, success, index, round);
    }
};

struct InstallSnapshot {
    Term term{};
    std::uint64_t round = 0;
    Snapshot snapshot;

    auto fields()
    {
        return std::tie(term, round, snapshot);
    }
};

// Request to become a member, from a replica with an empty disk or one that was removed while it was away.
struct JoinRequest {
    ReplicaKey joiner;

    auto fields()
    {
        return std::tie(joiner);
    }
};

// From a replica that is about to stop to the leader: asks it to pass its vote to a learner.
struct StopNotice {
    Term term{};

    auto fields()
    {
        return std::tie(term);
    }
};

// Answer of the leader. If it does not hand over the vote, or has done so, the replica may stop.
struct StopReply {
    Term term{};
    bool handsOver = false;

    auto fields()
    {
        return std::tie(term, handsOver);
    }
};

// From a leader that is about to stop to the voters: it no longer leads the term, and `successor` starts an election at once.
struct LeaderStop {
    Term term{};
    ReplicaKey successor;

    auto fields()
    {
        return std::tie(term, successor);
    }
};

// New types go at the end: the index of a type is part of the encoding, and an earlier release drops the types that it does not know.
using RaftMessage = std::variant<VoteRequest, VoteReply, AppendRequest, AppendReply, InstallSnapshot, JoinRequest, StopNotice, StopReply, LeaderStop>;

} // namespace Robinrail

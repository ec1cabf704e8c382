// SPDX-License-Identifier: MIT
// Raft messages: log entries, cluster configuration and what replicas say to each other.
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

// A replica together with the disk that holds its votes and its log. A replica whose disk was lost has
// another disk number, hence is another voter: it can't vote with forgotten state.
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
    bool voter = false; // Otherwise a learner: it gets the log and does not count.

    bool operator==(const ReplicaMember &) const = default;

    auto fields()
    {
        return std::tie(key, voter);
    }
};

// Who takes part. In force from the moment it is in the log (Ongaro 2014, section 4.1).
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
    Noop, // Begins a term, so that its leader can commit what older terms left.
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

// What a replica must have synced before it answers.
struct HardState {
    Term term{};
    ReplicaKey votedFor; // Replica 0: nobody.

    bool operator==(const HardState &) const = default;

    auto fields()
    {
        return std::tie(term, votedFor);
    }
};

// The state machine as of one index, with the configuration of that index.
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

// Entries after (previousIndex, previousTerm); without entries a heartbeat. `round` numbers the
// leader's broadcasts, so that a quorum of replies proves that it still led at that broadcast.
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

// On success everything up to `index` is synced; otherwise `index` is where the logs may still agree.
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

// A replica with an empty disk asks to be taken in.
struct JoinRequest {
    ReplicaKey joiner;

    auto fields()
    {
        return std::tie(joiner);
    }
};

using RaftMessage = std::variant<VoteRequest, VoteReply, AppendRequest, AppendReply, InstallSnapshot, JoinRequest>;

} // namespace Robinrail

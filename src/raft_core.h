// SPDX-License-Identifier: MIT
// Raft core: one replica's part in the consensus, as a state machine without I/O.
//
// After Ongaro, "Consensus: Bridging Theory and Practice" (2014): elections with pre-vote and
// check-quorum (9.6, 6.2), log replication, read index (6.4), snapshots (5), single-step membership
// changes with learners (4). The driver calls handle(), propose() or tick(), then takes the output and
// must obey its order: persist and sync, then send, then apply.
#pragma once

#include "raft_message.h"

#include <boost/random/mersenne_twister.hpp>

#include <limits>
#include <map>
#include <optional>
#include <set>
#include <span>

namespace Robinrail {

// A leader says that it leads this often.
inline constexpr Duration RaftHeartbeat = std::chrono::milliseconds(75);

// A follower stands for election after a silence of between once and twice this.
inline constexpr Duration ElectionTimeout = std::chrono::milliseconds(450);

// Most entries, and about the most bytes of them, in one append request.
inline constexpr std::size_t MaxEntriesPerAppend = 256;
inline constexpr std::size_t MaxAppendBytes = std::size_t{512} << 10U;

// A learner becomes a voter when it lacks at most this many entries.
inline constexpr std::uint64_t MaxPromotionLag = 16;

// A configuration as a log entry carries it, and back.
Bytes encodeClusterConfig(const ClusterConfig &config);
ClusterConfig decodeClusterConfig(const Bytes &data);

enum class RaftRole : std::uint8_t {
    Joining, // An empty disk that no configuration names yet.
    Follower,
    PreCandidate,
    Candidate,
    Leader,
};

// A learner that nobody heard for this long is dropped, where the cluster keeps its members itself. Longer
// than any restart, so that a replica that comes back need not be taken in again.
inline constexpr Duration LearnerRemovalTimeout = std::chrono::seconds(20);

// A replica that just started and hears no leader asks for votes within this, as after a loss of power nobody
// leads. Where somebody does lead, the pre-vote disturbs nothing.
inline constexpr Duration FirstElectionTimeout = std::chrono::milliseconds(150);

// How a cluster chooses its members. The default suits a cluster whose replicas are named in settings.
struct RaftPolicy {
    std::size_t desiredVoters = std::numeric_limits<std::size_t>::max(); // Learners beyond this stay spares.
    std::size_t minCopies = 1; // Fewest voters' disks that hold an entry before it is committed.
    Duration voterTimeout{}; // A voter that was silent for this long is replaced by a spare; 0: never.
};

// What a replica finds on its disk, or starts with.
struct PersistentRaftState {
    HardState hard;
    std::optional<Snapshot> snapshot;
    std::vector<LogEntry> log; // Contiguous, after the snapshot.
    LogIndex committed{}; // Known to be committed, from a note beside the log; 0 without one.
};

struct RaftSend {
    ReplicaKey to;
    RaftMessage message;
};

// A read may be answered once `index` is applied.
struct ConfirmedRead {
    std::uint64_t ticket = 0;
    LogIndex index{};
};

// What the driver must do, in this order: install the snapshot, persist hard state and entries (cutting
// the log from the first entry's index on), sync, send, apply.
struct RaftOutput {
    std::optional<Snapshot> snapshot;
    std::optional<HardState> hard;
    std::vector<LogEntry> entries;
    std::vector<RaftSend> sends;
    std::vector<LogEntry> committed;
    std::vector<ConfirmedRead> reads;

    bool mustSync() const
    {
        return snapshot || hard || !entries.empty();
    }
};

// A leader's view of another member, for figures and logs.
struct MemberProgress {
    ReplicaKey key;
    LogIndex match{}; // What it is known to hold.
    LogIndex next{}; // What it is sent next; entries between the two are on their way, or lost.
    TimePoint lastHeard;
};

class RaftCore
{
public:
    RaftCore(ReplicaKey self, PersistentRaftState durable, TimePoint now, std::uint32_t seed, RaftPolicy policy = {});

    // A durable state that makes `self` the only voter of a new cluster whose first command is given.
    static PersistentRaftState bootstrap(ReplicaKey self, Bytes firstCommand);

    // The same for several voters. Each of them starts with this very state, so the first election may go to
    // any and there is one cluster, whatever the order in which they start.
    static PersistentRaftState bootstrap(std::span<const ReplicaKey> voters, Bytes firstCommand = {});

    // Says in which data centre a replica is; voters are spread over them.
    void setDataCentre(ReplicaId replica, DataCentreId dataCentre);

    void tick(TimePoint now);
    void handle(TimePoint now, ReplicaKey from, const RaftMessage &message);

    // Appends a command; its index if this replica leads. That it is in the log does not mean that it
    // will be committed: only `committed` says so.
    std::optional<LogIndex> propose(TimePoint now, Bytes command);

    // Asks for a linearizable read; the ticket comes back in `reads`. False if this replica can't serve it.
    bool requestRead(TimePoint now, std::uint64_t ticket);

    // Replaces the applied log up to `index` by the state machine's snapshot.
    void compact(LogIndex index, Bytes state);

    RaftOutput takeOutput();

    RaftRole role() const;
    ReplicaKey self() const;
    ReplicaKey leader() const; // Replica 0: unknown.
    Term term() const;
    LogIndex commitIndex() const;
    LogIndex lastIndex() const;
    LogIndex firstIndex() const;
    const ClusterConfig &config() const;
    // Whether config() is committed; until then the one before may come back with another leader.
    bool configCommitted() const;
    const Snapshot &snapshot() const; // Index 0 without one.
    const HardState &hardState() const;
    std::span<const LogEntry> log() const; // After the snapshot.
    bool isVoter(ReplicaKey key) const;

    // Where the other members are; empty unless this replica leads.
    std::vector<MemberProgress> memberProgress() const;

    // Whether the replica heard from a quorum (as leader) or from a leader (as follower) of late.
    bool inContact(TimePoint now) const;

    // Whether this replica holds what was committed until a moment ago: it leads a quorum, or it had all that its leader had
    // committed by a message of late. A follower whose refusals of appends get lost hears its leader for as long and
    // learns nothing.
    bool caughtUp(TimePoint now) const;

    // The entry at an index that is neither compacted nor beyond the end; null otherwise.
    const LogEntry *entryAt(LogIndex index) const;

private:
    // A leader's view of one other member.
    struct Progress {
        LogIndex match{};
        LogIndex next{};
        std::uint64_t ackedRound = 0;
        TimePoint lastHeard;
        TimePoint snapshotSent;
    };
    struct PendingRead {
        std::uint64_t ticket = 0;
        std::uint64_t round = 0;
        LogIndex index{};
    };
    struct ConfigAt {
        LogIndex index{};
        ClusterConfig config;
    };

    void onVoteRequest(TimePoint now, ReplicaKey from, const VoteRequest &request);
    void onVoteReply(TimePoint now, ReplicaKey from, const VoteReply &reply);
    void onAppend(TimePoint now, ReplicaKey from, const AppendRequest &request);
    void onAppendReply(TimePoint now, ReplicaKey from, const AppendReply &reply);
    void onSnapshot(TimePoint now, ReplicaKey from, const InstallSnapshot &install);
    void onJoin(TimePoint now, const JoinRequest &request);

    void campaign(TimePoint now, bool preVote);
    void becomeFollower(TimePoint now, Term term, ReplicaKey leader);
    void becomeLeader(TimePoint now);
    void resetElectionTimer(TimePoint now);
    void setTerm(Term term, ReplicaKey votedFor);

    LogIndex append(EntryKind kind, Bytes data);
    void storeEntries(std::span<const LogEntry> entries);
    void truncateFrom(LogIndex index);
    void adoptConfig(const LogEntry &entry);
    void broadcast(TimePoint now);
    void sendAppend(TimePoint now, ReplicaKey to, Progress &progress);
    void sendSnapshot(TimePoint now, ReplicaKey to, Progress &progress);
    void advanceCommit();
    void commitTo(LogIndex index);
    void confirmReads();
    void updateMembership(TimePoint now);
    bool addJoiningLearners(TimePoint now, ClusterConfig &config) const;
    bool replaceOrAddVoter(TimePoint now, ClusterConfig &config) const;
    bool demoteVoter(TimePoint now, ClusterConfig &config) const;
    bool removeLearner(TimePoint now, ClusterConfig &config) const;
    bool readyForPromotion(TimePoint now, const ReplicaMember &member) const;
    bool voterTimedOut(TimePoint now, const ReplicaMember &member) const;
    std::size_t otherVotersInDataCentre(const ReplicaMember &member) const;
    void proposeConfig(TimePoint now, const ClusterConfig &config);
    bool configPending() const;
    std::size_t voterCount() const;
    bool isQuorum(std::size_t count) const;
    bool heardFromQuorum(TimePoint now) const;
    Term termAt(LogIndex index) const;
    Term lastTerm() const;
    void send(ReplicaKey to, RaftMessage message);

    ReplicaKey m_self;
    RaftPolicy m_policy;
    std::map<ReplicaId, DataCentreId> m_dataCentres;
    boost::random::mt19937 m_random;
    HardState m_hard;
    Snapshot m_snapshot; // Index 0 without one.
    std::vector<LogEntry> m_log;
    std::vector<ConfigAt> m_configs; // By index; the last one is in force.
    RaftRole m_role = RaftRole::Follower;
    ReplicaKey m_leader;
    LogIndex m_commit{};
    LogIndex m_applied{};
    TimePoint m_lastTick;
    TimePoint m_electionDeadline;
    TimePoint m_nextHeartbeat;
    TimePoint m_leaderLastHeard;
    TimePoint m_lastCaughtUp; // When the leader's commit index, as it last told it, was reached.
    std::set<ReplicaKey> m_votes;
    std::map<ReplicaKey, Progress> m_progress;
    std::map<ReplicaKey, TimePoint> m_joiners; // Asked to be taken in, and when last.
    std::uint64_t m_round = 0;
    std::vector<PendingRead> m_reads;
    RaftOutput m_output;
};

} // namespace Robinrail

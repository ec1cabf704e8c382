// SPDX-License-Identifier: MIT
// Raft core: the consensus protocol of one replica as a deterministic state machine without I/O.
//
// Follows Ongaro, "Consensus: Bridging Theory and Practice" (2014): elections with pre-vote and
// check-quorum (sections 9.6, 6.2), log replication, read index (6.4), snapshots (5) and single-server
// membership changes with learners (4). The driver calls handle(), propose() or tick(), then takes the
// output and must process it in this order: persist and sync, send, apply.
#pragma once

#include "raft_message.h"

#include <boost/random/mersenne_twister.hpp>

#include <limits>
#include <map>
#include <optional>
#include <set>
#include <span>

namespace Robinrail {

// Interval between the heartbeats of a leader.
inline constexpr Duration RaftHeartbeat = std::chrono::milliseconds(75);

// A follower starts an election after a randomized time without a leader, between once and twice this value.
inline constexpr Duration ElectionTimeout = std::chrono::milliseconds(450);

// Limits of one append request. The byte limit is approximate: a single larger entry is sent alone.
inline constexpr std::size_t MaxEntriesPerAppend = 256;
inline constexpr std::size_t MaxAppendBytes = std::size_t{512} << 10U;

// A learner is promoted to voter only when it is at most this many entries behind the leader.
inline constexpr std::uint64_t MaxPromotionLag = 16;

// Conversion of a configuration to and from the data of a log entry.
Bytes encodeClusterConfig(const ClusterConfig &config);
ClusterConfig decodeClusterConfig(const Bytes &data);

enum class RaftRole : std::uint8_t {
    Joining, // The log is empty and no configuration is known yet.
    Follower,
    PreCandidate,
    Candidate,
    Leader,
};

// A learner that the leader has not heard from for this long is removed, if the cluster manages its own
// membership. Longer than any restart, so that a restarted replica need not join again.
inline constexpr Duration LearnerRemovalTimeout = std::chrono::seconds(20);

// A stopping replica waits at most this long for the handover of its vote: several elections, and half of the shortest
// grace period of a deployment (6 s).
inline constexpr Duration VoteHandoverLimit = std::chrono::seconds(3);

// A voter counts as stopping for this long after its last notice. Longer than RaftPolicy::voterTimeout of the deployments (1.5 s),
// so that a voter that was killed meanwhile is the one that is replaced.
inline constexpr Duration StopNoticeLifetime = std::chrono::seconds(2);

// Upper bound of the election time-out of a replica that has just started. It is short because there is no
// leader after a power loss; if there is one, the pre-vote keeps the early election from disturbing it.
inline constexpr Duration FirstElectionTimeout = std::chrono::milliseconds(150);

// How a cluster manages its membership. The default suits a cluster whose replicas are listed in the settings.
struct RaftPolicy {
    std::size_t desiredVoters = std::numeric_limits<std::size_t>::max(); // Further replicas stay learners, as spares.
    std::size_t minCopies = 1; // Voters that must hold an entry before it is committed; at least a majority is required anyway.
    Duration voterTimeout{}; // A voter not heard from for this long is replaced by a spare; 0: never.
};

// State that a replica recovers from its disk, or that bootstrap() creates.
struct PersistentRaftState {
    HardState hard;
    std::optional<Snapshot> snapshot;
    std::vector<LogEntry> log; // Contiguous, after the snapshot.
    LogIndex committed{}; // Known commit index, from the recovery notes beside the log; 0: unknown.
};

struct RaftSend {
    ReplicaKey to;
    RaftMessage message;
};

// A linearizable read whose leadership check has succeeded. It may be answered once `index` is applied.
struct ConfirmedRead {
    std::uint64_t ticket = 0;
    LogIndex index{};
};

// Actions for the driver, in this order: install the snapshot, persist hard state and entries (truncating
// the log from the index of the first entry), sync, send, apply.
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

// A leader's view of another member, for metrics and logs.
struct MemberProgress {
    ReplicaKey key;
    LogIndex match{}; // Highest index known to be replicated to it.
    LogIndex next{}; // Next index to send; entries between the two are in flight or lost.
    TimePoint lastHeard;
};

class RaftCore
{
public:
    RaftCore(ReplicaKey self, PersistentRaftState durable, TimePoint now, std::uint32_t seed, RaftPolicy policy = {});

    // Initial state of a new cluster with `self` as its only voter and the given first command.
    static PersistentRaftState bootstrap(ReplicaKey self, Bytes firstCommand);

    // The same for several voters. All of them start with an identical state, so any of them can win the
    // first election and a single cluster results, whatever the order in which they start.
    static PersistentRaftState bootstrap(std::span<const ReplicaKey> voters, Bytes firstCommand = {});

    // Sets the data centre of a replica; voters are spread over the data centres.
    void setDataCentre(ReplicaId replica, DataCentreId dataCentre);

    void tick(TimePoint now);
    void handle(TimePoint now, ReplicaKey from, const RaftMessage &message);

    // Appends a command and returns its index, or nothing if this replica is not the leader. An appended
    // command may still be lost; it is committed once it appears in RaftOutput::committed.
    std::optional<LogIndex> propose(TimePoint now, Bytes command);

    // Requests a linearizable read; the ticket is returned in RaftOutput::reads. False if this replica is not
    // the leader or has not committed an entry of its term yet.
    bool requestRead(TimePoint now, std::uint64_t ticket);

    // Replaces the log up to `index`, which must be applied, by a snapshot of the state machine.
    void compact(LogIndex index, Bytes state);

    // Starts a planned stop: a voter has its vote passed to a caught-up learner, and a leader passes the leadership on before.
    // The replica goes on working until stopCompleted(), which holds after `longest` at the latest, and at once if there is no
    // such learner.
    void beginStop(TimePoint now, Duration longest);
    bool stopCompleted(TimePoint now) const;

    RaftOutput takeOutput();

    RaftRole role() const;
    ReplicaKey self() const;
    ReplicaKey leader() const; // Replica id 0 if unknown.
    Term term() const;
    LogIndex commitIndex() const;
    LogIndex lastIndex() const;
    LogIndex firstIndex() const;
    const ClusterConfig &config() const;
    // Whether config() is committed; until then a new leader may revert to the previous configuration.
    bool configCommitted() const;
    const Snapshot &snapshot() const; // Index 0 if there is none.
    const HardState &hardState() const;
    std::span<const LogEntry> log() const; // Entries after the snapshot.
    bool isVoter(ReplicaKey key) const;

    // Replication progress of the other members; empty unless this replica leads.
    std::vector<MemberProgress> memberProgress() const;

    // Whether the replica heard from a quorum (as leader) or from a leader (as follower) within the last two election time-outs.
    bool inContact(TimePoint now) const;

    // Whether this replica holds everything that was committed up to two election time-outs ago: it leads a quorum, or its
    // commit index reached the one in a recent append of its leader. inContact() is not enough: a follower whose rejections
    // of appends are lost keeps hearing its leader without receiving any entries.
    bool caughtUp(TimePoint now) const;

    // The entry at `index`; null if it is compacted or beyond the end of the log.
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
    void onStopNotice(TimePoint now, ReplicaKey from);
    void onStopReply(ReplicaKey from, const StopReply &reply);
    void onLeaderStop(TimePoint now, ReplicaKey from, const LeaderStop &stop);

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
    bool voterLeaves(TimePoint now, const ReplicaMember &member) const;
    std::size_t otherVotersInDataCentre(const ReplicaMember &member) const;
    void continueStop(TimePoint now);
    void passLeadership(TimePoint now);
    bool handsOverVote(TimePoint now, ReplicaKey stopping) const;
    bool awaitsFirstReply(TimePoint now, const ReplicaMember &member) const;
    bool canReplaceStoppingVoters(TimePoint now) const;
    bool staysVoter(TimePoint now, const ReplicaMember &member) const;
    bool isStopping(TimePoint now, ReplicaKey key) const;
    bool changesVoters() const;
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
    std::vector<ConfigAt> m_configs; // In order of index; the last one is in force.
    RaftRole m_role = RaftRole::Follower;
    ReplicaKey m_leader;
    LogIndex m_commit{};
    LogIndex m_applied{};
    TimePoint m_lastTick;
    TimePoint m_electionDeadline;
    TimePoint m_nextHeartbeat;
    TimePoint m_leaderSince; // When this replica last became the leader.
    TimePoint m_leaderLastHeard;
    TimePoint m_lastCaughtUp; // When the commit index last reached that of an append from the leader.
    std::set<ReplicaKey> m_votes;
    std::map<ReplicaKey, Progress> m_progress;
    std::map<ReplicaKey, TimePoint> m_joiners; // Replicas that asked to join, with the time of their last request.
    std::map<ReplicaKey, TimePoint> m_stoppingMembers; // Members that are about to stop, with the time of their last notice.
    bool m_stopping = false;
    bool m_stopRefused = false; // The leader has no learner for the vote of this stopping replica, or has passed it on.
    TimePoint m_stopDeadline;
    TimePoint m_nextStopNotice;
    std::uint64_t m_round = 0;
    std::vector<PendingRead> m_reads;
    RaftOutput m_output;
};

} // namespace Robinrail

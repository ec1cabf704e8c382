// SPDX-License-Identifier: MIT
// Control cluster: deterministic simulation of control replicas with a simulated network, disks and clocks.
// The invariants of consensus are checked after every event.
#pragma once

#include "control_core.h"

#include <pcg_random.hpp>

#include <functional>
#include <memory>
#include <queue>
#include <string>

namespace Robinrail {

struct ClusterOptions {
    int replicas = 3;
    std::uint64_t seed = 1;
    double drop = 0; // Probability that a message is lost.
    double duplicate = 0; // Probability that a message is duplicated.
    Duration longestDelay = std::chrono::milliseconds(20);
    double clockSkew = 0; // Clocks run faster or slower by up to this fraction.
    int seeds = 1; // Replicas that bootstrap the cluster.
    RaftPolicy policy = {};
    // Time to establish a link. Replicas dial the seeds from their start and all members that they know; a message needs a
    // link that either of the two replicas dialled. A replica with a new disk has a new address. 0: all replicas are always
    // linked.
    Duration linkTime = {};
};

// Options of a cluster that chooses its voters automatically and tolerates the loss of `losses` disks.
inline ClusterOptions automaticVoters(std::size_t losses)
{
    ClusterOptions options;
    options.seeds = 3;
    options.policy.desiredVoters = 2 * losses + 1;
    options.policy.minCopies = losses + 1;
    options.policy.voterTimeout = std::chrono::milliseconds(1500);
    return options;
}

class ControlCluster
{
public:
    explicit ControlCluster(const ClusterOptions &options);

    // Advances the simulated time, checking the invariants after every event.
    void run(Duration duration);

    // Runs until the condition holds or `longest` has passed; whether it holds.
    bool runUntil(const std::function<bool()> &condition, Duration longest = std::chrono::seconds(30));

    void crash(int number);
    // Makes the next sync of the replica fail: it crashes, keeping only what it had synced before.
    void failNextSync(int number);
    // Starts a planned stop (SIGTERM): the replica goes on until its core says that it may end.
    void stop(int number);
    void restart(int number);
    // Loses the disk of a replica and restarts it with an empty one. Returns false and does nothing if that could lose
    // committed entries, that is unless the cluster has converged with all members on their current disks.
    bool wipe(int number);
    // Loses the disk of a replica and restarts it with an empty one, whatever that loses.
    void loseDisk(int number);
    void freeze(int number);
    void thaw(int number);
    // Partitions the replicas in the set (bit n - 1 for replica n) from the others.
    void partition(unsigned set);
    void heal();

    // Makes a signed change that proposes a bundle on a base version. It can be submitted several times.
    SignedChange makeProposal(std::uint64_t base, const std::string &operatorName);
    void submit(int number, const SignedChange &change);

    // The final answers to a change so far, one for each submission that was answered.
    std::vector<ChangeResult> answersTo(const ChangeId &change) const;

    int leader() const; // Number of the leader with the highest term; 0 if there is none.
    ControlCore &core(int number);
    bool up(int number) const;
    bool converged() const; // All replicas are up, are members and have committed the leader's log, and the desired number of them are voters.
    std::size_t voterCount() const; // In the leader's configuration; 0 without a leader.
    bool isVoter(int number) const;

    // First violation of an invariant; empty if there was none.
    const std::string &violation() const;

    // The highest version that was acknowledged to any submitter.
    std::uint64_t acknowledgedVersion() const;
    const KeyPair &keyOf(const std::string &operatorName) const;

private:
    struct Node {
        ReplicaKey key;
        PersistentRaftState disk;
        std::unique_ptr<ControlCore> core;
        bool up = false;
        bool frozen = false;
        bool failSync = false;
        bool stopping = false;
        double clockRate = 1;
        std::uint64_t run = 0; // Number of the current start; timers of earlier runs are ignored.
        std::vector<std::function<void()>> deferredActions;
        std::map<std::uint64_t, ChangeId> tickets;
        std::map<ReplicaKey, TimePoint> dialled; // When it dialled each replica that it knows.
    };
    struct Event {
        TimePoint at;
        std::uint64_t order = 0;
        std::function<void()> action;

        bool operator>(const Event &other) const
        {
            return std::pair(at, order) > std::pair(other.at, other.order);
        }
    };

    Node &node(int number);
    void start(Node &node);
    void after(Duration delay, std::function<void()> action);
    void tick(Node &node, std::uint64_t run);
    void endIfStopped(Node &node);
    void runOnNode(Node &node, const std::function<void()> &action);
    void flush(Node &node);
    void send(Node &from, const RaftSend &send);
    void deliver(Node &target, ReplicaKey sender, const Bytes &bytes);
    void dial(Node &node);
    bool hasLink(const Node &one, const Node &other) const;
    bool samePartition(const Node &one, const Node &other) const;
    TimePoint clockOf(const Node &node) const;
    double uniform();
    void check(Node &node, const RaftOutput &output);
    void fail(const std::string &what);

    ClusterOptions m_options;
    pcg64 m_random;
    TimePoint m_now;
    std::uint64_t m_order = 0;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::vector<Node> m_nodes;
    unsigned m_partition = 0;
    std::uint64_t m_lastDisk = 0;
    std::uint64_t m_lastTicket = 0;
    std::map<std::string, KeyPair> m_keys;
    std::map<Term, ReplicaKey> m_leaders;
    std::map<LogIndex, LogEntry> m_committed;
    std::map<std::uint64_t, ChangeId> m_versions;
    std::map<ChangeId, std::vector<ChangeResult>> m_answers;
    std::uint64_t m_acknowledged = 0;
    std::string m_violation;
};

} // namespace Robinrail

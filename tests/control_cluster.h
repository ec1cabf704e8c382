// SPDX-License-Identifier: MIT
// Control cluster: control replicas on a fake network, fake disks and fake clocks, with invariants that
// are checked at every step.
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
    double drop = 0;
    double duplicate = 0;
    Duration longestDelay = std::chrono::milliseconds(20);
    double clockSkew = 0; // Clocks run up to this part faster or slower.
    int seeds = 1; // Replicas that begin the cluster together.
    RaftPolicy policy = {};
    // How long a link takes to come up. Replicas dial `seeds` ones from their start and the members that they know, and what
    // one sends needs a link that either of the two dialled. A replica with another disk has another address. 0: all reach all.
    Duration linkTime = {};
};

class ControlCluster
{
public:
    explicit ControlCluster(const ClusterOptions &options);

    // Lets time pass; checks the invariants after every event.
    void run(Duration duration);

    // Runs until the condition holds, at most so long; whether it does.
    bool runUntil(const std::function<bool()> &condition, Duration longest = std::chrono::seconds(30));

    void crash(int number);
    // The next sync of the replica fails: it goes down with what it had synced before.
    void failNextSync(int number);
    void restart(int number);
    // Loses the disk and starts as a new replica; refused if that could lose what is committed, that is
    // while another lost disk is still a voter.
    bool wipe(int number);
    void freeze(int number);
    void thaw(int number);
    // Cuts the links between the replicas in the set (bit n - 1 for replica n) and the others.
    void partition(unsigned set);
    void heal();

    // Proposes a bundle on a base version at a replica; the change can be sent again.
    SignedChange makeProposal(std::uint64_t base, const std::string &operatorName);
    void submit(int number, const SignedChange &change);

    // The final answers to a change so far, each once.
    std::vector<ChangeResult> answersTo(const ChangeId &change) const;

    int leader() const; // Number of a replica that leads in the highest term; 0 if there is none.
    ControlCore &core(int number);
    bool up(int number) const;
    bool converged() const; // All are up, members, as many of them voters as are wanted, and have applied the same.
    std::size_t voterCount() const; // As the leader sees it; 0 without one.
    bool isVoter(int number) const;

    // What went wrong first; empty as long as all invariants hold.
    const std::string &violation() const;

    // The highest version that was acknowledged to anyone.
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
        double clockRate = 1;
        std::uint64_t run = 0;
        std::vector<std::function<void()>> deferredActions;
        std::map<std::uint64_t, ChangeId> tickets;
        std::map<ReplicaKey, TimePoint> dialled; // When each one that it knows was dialled.
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

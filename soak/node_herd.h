// SPDX-License-Identifier: MIT
// Node herd: the real programs as child processes, with their settings, data folders and proxies, and what is
// done to them from outside. Ends only what it started.
#pragma once

#include "fault_proxy.h"

#include <boost/process/child.hpp>

#include <filesystem>
#include <memory>
#include <optional>

namespace Robinrail::Soak {

class NodeHerd
{
public:
    // Programs are taken from one folder; settings, logs and data go to another one.
    NodeHerd(
        boost::asio::io_context &io, const Plan &plan, Trouble &trouble, Promises &promises, const std::filesystem::path &programs, std::filesystem::path work);
    ~NodeHerd();
    NodeHerd(const NodeHerd &) = delete;
    NodeHerd &operator=(const NodeHerd &) = delete;

    // Starts all for the first time.
    void startAll(TimePoint now);

    void tick(TimePoint now);

    // Nodes are numbered from the replicas on: 0 is the first replica, plan.replicas the first balancer.
    std::size_t size() const;
    bool isReplica(std::size_t node) const;
    bool idle(std::size_t node) const; // Runs, and nothing is being done to it.

    // What is done to a node, which must be idle. It runs again, or as before, after `length`.
    void kill(TimePoint now, std::size_t node, milliseconds length);
    void terminate(TimePoint now, std::size_t node, milliseconds length);
    void pause(TimePoint now, std::size_t node, milliseconds length);
    void hangUp(std::size_t node);
    void rewriteSeeds(std::size_t node, std::size_t first);

    // The same, for replicas: the disk is lost, its last write is torn, or it refuses to work for a while
    // after the restart.
    void killAndWipe(TimePoint now, std::size_t replica, milliseconds length);
    void killAndTear(TimePoint now, std::size_t replica, milliseconds length);
    void killAndRefuse(TimePoint now, std::size_t replica, milliseconds length);

    // Links of a replica misbehave for a while.
    void harmLinks(TimePoint now, std::size_t replica, LinkFault fault, milliseconds delay, milliseconds length);
    void resetLinks(TimePoint now, std::size_t replica);

    // Everything that was begun ends now.
    void settleAll(TimePoint now);

    // Whether nothing is being done to any node.
    bool calm() const;

private:
    enum class State : std::uint8_t {
        Running,
        Down, // Killed; starts again when it is due.
        Ending, // Asked to end.
        Paused,
    };
    struct Node {
        std::string name;
        std::uint32_t address = 0;
        std::filesystem::path program;
        std::filesystem::path data; // Of a replica.
        boost::process::child child;
        State state = State::Down;
        TimePoint due; // Of the next start, or of the pause's end.
        TimePoint endBy; // Of a node that was asked to end.
        std::optional<TimePoint> storageBack; // The disk works again from then on.
        std::unique_ptr<FaultProxy> proxy;
        std::optional<TimePoint> linksBack;
        std::size_t firstSeed = 0;
    };
    void writeSettings(const Node &node, bool firstStart) const;
    void start(TimePoint now, Node &node);
    void endNow(Node &node);
    void restoreStorage(Node &node);
    void signal(Node &node, int number);
    void tickNode(TimePoint now, Node &node);
    void tickLinks(TimePoint now, Node &node);

    Plan m_plan;
    Trouble &m_trouble;
    Promises &m_promises;
    std::filesystem::path m_work;
    std::vector<Node> m_nodes;
};

} // namespace Robinrail::Soak

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

class NodeSupervisor
{
public:
    // Programs are taken from one folder; settings, logs and data go to another one.
    NodeSupervisor(boost::asio::io_context &io,
                   const Topology &topology,
                   FaultTracker &faults,
                   Violations &violations,
                   const std::filesystem::path &programs,
                   std::filesystem::path work);
    ~NodeSupervisor();
    NodeSupervisor(const NodeSupervisor &) = delete;
    NodeSupervisor &operator=(const NodeSupervisor &) = delete;

    // Starts all for the first time.
    void startAll(TimePoint now);

    void tick(TimePoint now);

    // Nodes are numbered from the replicas on: 0 is the first replica, plan.replicas the first balancer.
    std::size_t size() const;
    bool isReplica(std::size_t node) const;
    bool canInjectFault(std::size_t node) const; // Runs, and nothing is being done to it.

    // What is done to a node, which must be idle. It runs again, or as before, after `length`.
    void kill(TimePoint now, std::size_t node, milliseconds duration);
    void terminate(TimePoint now, std::size_t node, milliseconds duration);
    void pause(TimePoint now, std::size_t node, milliseconds duration);
    void sendHangup(std::size_t node);
    void rewriteSeedNodes(std::size_t node, std::size_t firstSeedNode);

    // The same, for replicas: the disk is lost, its last write is torn, or it refuses to work for a while
    // after the restart.
    void killAndWipeDisk(TimePoint now, std::size_t replica, milliseconds duration);
    void killAndTearLog(TimePoint now, std::size_t replica, milliseconds duration);
    void killAndFailStorage(TimePoint now, std::size_t replica, milliseconds duration);

    // Links of a replica misbehave for a while.
    void injectLinkFault(TimePoint now, std::size_t replica, LinkFault fault, milliseconds delay, milliseconds duration);
    void resetConnections(TimePoint now, std::size_t replica);

    // Everything that was begun ends now.
    void endAllFaults(TimePoint now);

    // Whether nothing is being done to any node.
    bool faultFree() const;

private:
    enum class State : std::uint8_t {
        Running,
        Down, // Killed; starts again when it is due.
        Terminating, // Asked to end.
        Paused,
    };
    struct Node {
        std::string name;
        std::uint32_t address = 0;
        std::filesystem::path program;
        std::filesystem::path data; // Of a replica.
        boost::process::child child;
        State state = State::Down;
        TimePoint nextActionAt; // Of the next start, or of the pause's end.
        TimePoint terminateDeadline; // Of a node that was asked to end.
        std::optional<TimePoint> storageRestoreAt; // The disk works again from then on.
        std::unique_ptr<FaultProxy> proxy;
        std::optional<TimePoint> linkFaultEndAt;
        std::size_t firstSeedNode = 0;
    };
    void writeSettings(const Node &node, bool firstStart) const;
    void start(TimePoint now, Node &node);
    void killProcess(Node &node);
    void restoreStorage(Node &node);
    void sendSignal(Node &node, int number);
    void tickNode(TimePoint now, Node &node);
    void tickLinkFault(TimePoint now, Node &node);

    Topology m_topology;
    FaultTracker &m_faults;
    Violations &m_violations;
    std::filesystem::path m_work;
    std::vector<Node> m_nodes;
};

} // namespace Robinrail::Soak

// SPDX-License-Identifier: MIT
// Node supervisor: runs the real programs as child processes, with their settings, data folders and fault proxies, and injects
// faults into them. Signals only processes that it started.
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
    // `programs` is the folder of the executables; settings, logs and data are written to `work`.
    NodeSupervisor(boost::asio::io_context &io,
                   const Topology &topology,
                   FaultTracker &faults,
                   Violations &violations,
                   const std::filesystem::path &programs,
                   std::filesystem::path work);
    ~NodeSupervisor();
    NodeSupervisor(const NodeSupervisor &) = delete;
    NodeSupervisor &operator=(const NodeSupervisor &) = delete;

    // Starts all nodes for the first time.
    void startAll(TimePoint now);

    void tick(TimePoint now);

    // Nodes are numbered from 0: first the replicas, then the balancers.
    std::size_t size() const;
    bool isReplica(std::size_t node) const;
    bool canInjectFault(std::size_t node) const; // Runs, without a fault of its process or storage.

    // Faults of a process. canInjectFault() must hold. The node is restarted or resumed after `duration`.
    void kill(TimePoint now, std::size_t node, milliseconds duration);
    void terminate(TimePoint now, std::size_t node, milliseconds duration);
    void pause(TimePoint now, std::size_t node, milliseconds duration);

    // Make a node reload its settings, or change the seed nodes in its settings; allowed in any state of the node.
    void sendHangup(std::size_t node);
    void rewriteSeedNodes(std::size_t node, std::size_t firstSeedNode);

    // Kill a replica; in addition its disk is lost, its last write is torn, or its storage fails for a while after the restart.
    // canInjectFault() must hold.
    void killAndWipeDisk(TimePoint now, std::size_t replica, milliseconds duration);
    void killAndTearLog(TimePoint now, std::size_t replica, milliseconds duration);
    void killAndFailStorage(TimePoint now, std::size_t replica, milliseconds duration);

    // Faults of the links of a replica: `fault` for `duration`, or a reset of all connections.
    void injectLinkFault(TimePoint now, std::size_t replica, LinkFault fault, milliseconds delay, milliseconds duration);
    void resetConnections(TimePoint now, std::size_t replica);

    // Makes all active faults end at the next tick, except that a terminating node still ends by itself first.
    void endAllFaults(TimePoint now);

    // Whether all nodes run and none has an active fault.
    bool faultFree() const;

private:
    enum class State : std::uint8_t {
        Running,
        Down, // Has ended; restarted at nextActionAt.
        Terminating, // Got SIGTERM, still running.
        Paused,
    };
    struct Node {
        std::string name;
        std::uint32_t address = 0;
        std::filesystem::path program;
        std::filesystem::path data; // Only for replicas.
        boost::process::child child;
        State state = State::Down;
        TimePoint nextActionAt; // When to restart or to resume.
        TimePoint terminateDeadline; // After SIGTERM.
        std::optional<TimePoint> storageRestoreAt; // Set while the storage fails.
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

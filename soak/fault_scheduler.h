// SPDX-License-Identifier: MIT
// Fault scheduler: injects random faults, successive and overlapping, within what the deployment must tolerate.
#pragma once

#include "node_supervisor.h"
#include "routing_operator.h"
#include "target_simulator.h"

#include <functional>
#include <utility>

namespace Robinrail::Soak {

class FaultScheduler
{
public:
    FaultScheduler(const Topology &topology,
                   NodeSupervisor &nodes,
                   TargetSimulator &targets,
                   RoutingOperator &routingOperator,
                   const FaultTracker &faults,
                   std::uint64_t seed);

    // Injects the next fault if it is due.
    void tick(TimePoint now);

    std::size_t injectedFaults() const;

private:
    struct FaultKind {
        int weight = 1;
        std::function<void(TimePoint)> inject;
    };
    std::optional<std::size_t> randomFaultableNode(bool replica);
    milliseconds randomDuration();
    void faultRandomNode(TimePoint now, bool replica, void (NodeSupervisor::*inject)(TimePoint, std::size_t, milliseconds));
    void injectLinkFault(TimePoint now, LinkFault fault);
    void killNodes(TimePoint now, bool replicas, double probability);
    void wipeReplica(TimePoint now);

    Topology m_topology;
    NodeSupervisor &m_nodes;
    const FaultTracker &m_faults;
    Random m_random;
    std::vector<FaultKind> m_faultKinds;
    std::discrete_distribution<std::size_t> m_kindDistribution;
    TimePoint m_nextFaultAt;
    std::size_t m_injectedFaults = 0;
    bool m_withChangingRoute = false;
};

} // namespace Robinrail::Soak

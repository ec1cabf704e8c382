// SPDX-License-Identifier: MIT
// Fault scheduler: implementation.
#include "fault_scheduler.h"

namespace Robinrail::Soak {

namespace {

// Duration of a fault, and interval between the beginnings of two faults: two or three overlap most of the time.
constexpr milliseconds MinFaultDuration{200};
constexpr milliseconds MaxFaultDuration{3500};
constexpr milliseconds MinFaultInterval{100};
constexpr milliseconds MaxFaultInterval{1300};

constexpr milliseconds MinLinkDelay{20};
constexpr milliseconds MaxLinkDelay{400};

// How long the address of a crashed target stays unused at least: the long time normally, the short one for a target that
// restarts at once.
constexpr milliseconds LongTargetDowntime{2500};
constexpr milliseconds ShortTargetDowntime{300};

constexpr double HalfOfNodes = 0.5;
constexpr double AllNodes = 1;

} // namespace

FaultScheduler::FaultScheduler(
    const Topology &topology, NodeSupervisor &nodes, TargetSimulator &targets, RoutingOperator &routingOperator, const FaultTracker &faults, std::uint64_t seed)
    : m_topology(topology)
    , m_nodes(nodes)
    , m_faults(faults)
    , m_random(seed)
{
    const auto nodeFault = [this](bool replica, void (NodeSupervisor::*inject)(TimePoint, std::size_t, milliseconds)) {
        return [this, replica, inject](TimePoint now) {
            faultRandomNode(now, replica, inject);
        };
    };
    const auto linkFault = [this](LinkFault fault) {
        return [this, fault](TimePoint now) {
            injectLinkFault(now, fault);
        };
    };
    m_faultKinds = {
        {4, nodeFault(false, &NodeSupervisor::kill)},
        {3, nodeFault(true, &NodeSupervisor::kill)},
        {3, nodeFault(false, &NodeSupervisor::terminate)},
        {2, nodeFault(true, &NodeSupervisor::terminate)},
        {3, nodeFault(false, &NodeSupervisor::pause)},
        {3, nodeFault(true, &NodeSupervisor::pause)},
        {2, nodeFault(true, &NodeSupervisor::killAndTearLog)},
        {2, nodeFault(true, &NodeSupervisor::killAndFailStorage)},
        {3,
         [this](TimePoint now) {
             wipeReplica(now);
         }},
        {2, linkFault(LinkFault::Delayed)},
        {2, linkFault(LinkFault::Stalled)},
        {2, linkFault(LinkFault::ReplicaOutputStalled)},
        {2, linkFault(LinkFault::ExistingConnectionsStalled)},
        {2,
         [this](TimePoint now) {
             m_nodes.resetConnections(now, uniformIndex(m_random, m_topology.replicas));
         }},
        {1,
         [this](TimePoint now) {
             killNodes(now, true, AllNodes);
         }},
        {1,
         [this](TimePoint now) {
             killNodes(now, false, HalfOfNodes);
         }},
        {2,
         [this](TimePoint) {
             m_nodes.sendHangup(uniformIndex(m_random, m_nodes.size()));
         }},
        {1,
         [this](TimePoint) {
             m_nodes.rewriteSeedNodes(uniformIndex(m_random, m_nodes.size()), uniformIndex(m_random, m_topology.replicas));
         }},
        {3,
         [&targets](TimePoint now) {
             targets.crash(now, LongTargetDowntime);
         }},
        {2,
         [&targets](TimePoint now) {
             targets.crash(now, ShortTargetDowntime);
         }},
        {3,
         [&targets](TimePoint now) {
             targets.drain(now);
         }},
        {3,
         [this, &routingOperator](TimePoint now) {
             m_withChangingRoute = !m_withChangingRoute;
             routingOperator.submitChange(now, m_withChangingRoute);
         }},
    };
    std::vector<int> weights;
    for (const FaultKind &kind : m_faultKinds) {
        weights.push_back(kind.weight);
    }
    m_kindDistribution = std::discrete_distribution<std::size_t>(weights.begin(), weights.end());
}

void FaultScheduler::tick(TimePoint now)
{
    if (now >= m_nextFaultAt) {
        m_nextFaultAt = now + uniformDuration(m_random, MinFaultInterval, MaxFaultInterval);
        ++m_injectedFaults;
        m_faultKinds[m_kindDistribution(m_random)].inject(now);
    }
}

std::size_t FaultScheduler::injectedFaults() const
{
    return m_injectedFaults;
}

milliseconds FaultScheduler::randomDuration()
{
    return uniformDuration(m_random, MinFaultDuration, MaxFaultDuration);
}

std::optional<std::size_t> FaultScheduler::randomFaultableNode(bool replica)
{
    std::vector<std::size_t> candidates;
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        if (m_nodes.isReplica(i) == replica && m_nodes.canInjectFault(i)) {
            candidates.push_back(i);
        }
    }
    return candidates.empty() ? std::nullopt : std::optional(candidates[uniformIndex(m_random, candidates.size())]);
}

void FaultScheduler::faultRandomNode(TimePoint now, bool replica, void (NodeSupervisor::*inject)(TimePoint, std::size_t, milliseconds))
{
    if (const std::optional<std::size_t> node = randomFaultableNode(replica)) {
        (m_nodes.*inject)(now, *node, randomDuration());
    }
}

void FaultScheduler::injectLinkFault(TimePoint now, LinkFault fault)
{
    m_nodes.injectLinkFault(now, uniformIndex(m_random, m_topology.replicas), fault, uniformDuration(m_random, MinLinkDelay, MaxLinkDelay), randomDuration());
}

void FaultScheduler::killNodes(TimePoint now, bool replicas, double probability)
{
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        if (m_nodes.isReplica(i) == replicas && m_nodes.canInjectFault(i) && chance(m_random, probability)) {
            m_nodes.kill(now, i, randomDuration());
        }
    }
}

// Only one disk may be lost at a time, including the time that the wiped replica needs to catch up: no other replica may have
// a recent fault.
void FaultScheduler::wipeReplica(TimePoint now)
{
    const std::optional<std::size_t> victim = randomFaultableNode(true);
    if (!victim) {
        return;
    }
    for (std::size_t i = 0; i < m_topology.replicas; ++i) {
        if (i != *victim && m_faults.recentlyFaulty(now, m_topology.replica(i))) {
            return;
        }
    }
    m_nodes.killAndWipeDisk(now, *victim, randomDuration());
}

} // namespace Robinrail::Soak

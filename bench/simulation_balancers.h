// SPDX-License-Identifier: MIT
// Simulated balancers and the network between all nodes: member functions of Simulation, included by simulation.cpp only.
#pragma once

#include "datagram_authenticator.h"
#include "random_draws.h"
#include "simulation_values.h"

namespace Robinrail {

constexpr Duration IntraDataCentreDelay = std::chrono::microseconds(100);
constexpr Duration FabricCheckInterval = std::chrono::milliseconds(200);

// The fabric keeps sending packets to a dead VM for this long.
constexpr Duration FabricFailureDetection = std::chrono::seconds(1);

template<SlotPolicy Policy>
void Simulation<Policy>::startBalancer(BalancerNode &node)
{
    BalancerSettings settings;
    settings.self = {node.id, Incarnation{FirstIncarnation + ++node.startCount}};
    settings.dataCentre = DataCentreId{static_cast<std::uint8_t>(node.dataCentre)};
    settings.connectionIdKeys = {{1, {1, 2, 3}}};
    for (const BalancerNode &peer : m_balancers) {
        settings.peers.push_back({peer.id, peer.endpoint});
    }
    node.core = std::make_unique<BalancerCore<Policy>>(settings);
    node.alive = true;
    node.frozen = false;
    std::vector<ServiceSettings> services;
    for (const SimulatedService &service : m_options.deployment.services) {
        ServiceSettings entry;
        entry.id = service.id;
        services.push_back(entry);
    }
    node.core->applyBundle(m_now, 1, services);
    const std::uint64_t startCount = node.startCount;
    every(TickInterval, [this, &node, startCount] {
        tickBalancer(node, startCount);
        return node.alive && node.startCount == startCount;
    });
    every(FabricCheckInterval, [this, &node, startCount] {
        if (node.startCount != startCount) {
            return false;
        }
        if (node.alive) {
            node.inFabric = node.core->ready();
            return true;
        }
        after(FabricFailureDetection, [&node, startCount] {
            node.inFabric = node.inFabric && node.startCount != startCount;
        });
        return false;
    });
}

template<SlotPolicy Policy>
void Simulation<Policy>::tickBalancer(BalancerNode &node, std::uint64_t startCount)
{
    if (!node.alive || node.frozen || node.startCount != startCount) {
        return;
    }
    node.core->tick(m_now);
    flush(node);
    if (node.core->finished(m_now)) {
        node.alive = false;
        ++m_result.stoppedBalancers;
    }
}

template<SlotPolicy Policy>
void Simulation<Policy>::runOnBalancer(BalancerNode &node, const std::function<void()> &action)
{
    if (!node.alive) {
        return;
    }
    if (node.frozen) {
        node.deferredActions.push_back(action); // A frozen process leaves packets in its socket buffer.
        return;
    }
    action();
    flush(node);
}

template<SlotPolicy Policy>
void Simulation<Policy>::flush(BalancerNode &node)
{
    for (const Outgoing &outgoing : node.core->takeOutbox()) {
        route(node, outgoing);
    }
}

template<SlotPolicy Policy>
bool Simulation<Policy>::connected(int one, int other) const
{
    return one == other || (!m_isolatedDataCentres.contains(one) && !m_isolatedDataCentres.contains(other));
}

template<SlotPolicy Policy>
Duration Simulation<Policy>::latency(int one, int other) const
{
    return one == other ? IntraDataCentreDelay : m_options.deployment.interDataCentreDelay;
}

// Sends one packet, subject to the configured loss, duplication and extra delay.
template<SlotPolicy Policy>
template<typename Deliver>
void Simulation<Policy>::transmit(Duration delay, bool mayDuplicate, Deliver deliver)
{
    const int copies = mayDuplicate && uniform() < m_options.duplicate ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        if (uniform() < m_options.drop) {
            continue;
        }
        const bool delayed = uniform() < m_options.delayed;
        const Duration extra = delayed ? Duration(static_cast<std::int64_t>(uniform() * static_cast<double>(MaxExtraDelay.count()))) : Duration(0);
        after(delay + extra, deliver);
    }
}

template<SlotPolicy Policy>
void Simulation<Policy>::route(BalancerNode &from, const Outgoing &outgoing)
{
    const std::uint32_t network = outgoing.to.address & NetworkMask;
    const std::size_t index = (outgoing.to.address & ~NetworkMask) - 1;
    if (network == BalancerNetwork) {
        BalancerNode &to = m_balancers[index];
        const bool control = std::holds_alternative<Heartbeat>(outgoing.message) || std::holds_alternative<HandoverFlows>(outgoing.message)
            || std::holds_alternative<HandoverReceived>(outgoing.message);
        if (control && measuring()) {
            from.controlBytes += encodeMessage(outgoing.message).size() + DatagramAuthOverhead;
        }
        if (!connected(from.dataCentre, to.dataCentre)) {
            return;
        }
        transmit(latency(from.dataCentre, to.dataCentre), true, [this, &to, peer = from.endpoint, message = outgoing.message] {
            runOnBalancer(to, [this, &to, peer, message] {
                to.core->handlePeer(m_now, peer, message);
            });
        });
    } else if (network == TargetNetwork) {
        TargetNode &to = m_targets[index];
        if (connected(from.dataCentre, to.dataCentre)) {
            transmit(latency(from.dataCentre, to.dataCentre), false, [this, &to, &from, message = outgoing.message] {
                handleTargetMessage(to, from, message);
            });
        }
    } else if (network == CallerNetwork) {
        CallerNode &to = m_callers[index];
        transmit(m_options.deployment.callerDelay, true, [this, &to, message = outgoing.message] {
            to.session->receive(m_now, message);
            processSession(to);
        });
    }
}

// The fabric sends each packet to a random balancer among those in its pool, whatever flow it belongs to.
template<SlotPolicy Policy>
void Simulation<Policy>::sendToAnyBalancer(std::function<void(BalancerNode &)> deliver)
{
    std::vector<BalancerNode *> pool;
    for (BalancerNode &node : m_balancers) {
        if (node.inFabric) {
            pool.push_back(&node);
        }
    }
    if (pool.empty()) {
        return;
    }
    BalancerNode &node = *pool[drawIndex(m_random, pool.size())];
    runOnBalancer(node, [&node, deliver = std::move(deliver)] {
        deliver(node);
    });
}

} // namespace Robinrail

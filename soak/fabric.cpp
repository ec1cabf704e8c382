// SPDX-License-Identifier: MIT
// Fabric: implementation.
#include "fabric.h"

#include "hash.h"
#include "http.h"
#include "standin_wire.h"

namespace Robinrail::Soak {

namespace {

// As on the platform: probes twice a second, and two missed probes in a row exclude a balancer.
constexpr Duration ProbeInterval = milliseconds(500);
constexpr milliseconds ProbeTimeout{400};
constexpr int UnhealthyThreshold = 2;

// Probabilities that a packet goes to a random balancer, is lost, duplicated, or delayed, and the delay.
constexpr double RandomBalancerProbability = 0.05;
constexpr double LossProbability = 0.003;
constexpr double DuplicateProbability = 0.003;
constexpr double DelayProbability = 0.01;
constexpr milliseconds PacketDelay{30};

} // namespace

Fabric::Fabric(boost::asio::io_context &io, const Topology &topology, std::uint64_t seed, const DatagramSocket::ReceiveHandler &receive)
    : m_io(io)
    , m_topology(topology)
    , m_random(seed)
    , m_balancers(topology.balancers)
{
    for (std::size_t i = 0; i < topology.callerAddresses(); ++i) {
        m_sockets.emplace_back(io, Endpoint{topology.caller(i), Topology::PacketPort}, receive);
    }
}

std::size_t Fabric::readyBalancers() const
{
    return static_cast<std::size_t>(std::count_if(m_balancers.begin(), m_balancers.end(), [](const BalancerHealth &balancer) {
        return balancer.missedProbes < UnhealthyThreshold;
    }));
}

// Rendezvous hashing over the healthy balancers, or over all if fewer than half are healthy.
std::size_t Fabric::selectBalancer(std::uint16_t callerPort)
{
    const bool useAll = readyBalancers() * 2 < m_balancers.size();
    std::vector<std::size_t> candidates;
    for (std::size_t i = 0; i < m_balancers.size(); ++i) {
        if (useAll || m_balancers[i].missedProbes < UnhealthyThreshold) {
            candidates.push_back(i);
        }
    }
    if (chance(m_random, RandomBalancerProbability)) {
        return candidates[uniformIndex(m_random, candidates.size())];
    }
    return *std::max_element(candidates.begin(), candidates.end(), [callerPort](std::size_t one, std::size_t other) {
        return rendezvousScore(callerPort, one, 1) < rendezvousScore(callerPort, other, 1);
    });
}

void Fabric::send(TimePoint now, std::uint16_t callerPort, BytesView packet)
{
    DatagramSocket &socket = m_sockets.front();
    const Endpoint to{m_topology.balancer(selectBalancer(callerPort)), Topology::PacketPort};
    if (chance(m_random, LossProbability)) {
        return;
    }
    if (chance(m_random, DelayProbability)) {
        m_delayed.push_back({now + PacketDelay, to, Bytes(packet.begin(), packet.end())});
        return;
    }
    socket.send(to, packet);
    if (chance(m_random, DuplicateProbability)) {
        socket.send(to, packet);
    }
}

void Fabric::tick(TimePoint now)
{
    while (!m_delayed.empty() && now >= m_delayed.front().sendAt) {
        m_sockets.front().send(m_delayed.front().to, BytesView(m_delayed.front().packet));
        m_delayed.pop_front();
    }
    if (now >= m_nextProbeAt) {
        m_nextProbeAt = now + ProbeInterval;
        probeBalancers();
    }
}

void Fabric::probeBalancers()
{
    constexpr unsigned Ok = 200;
    for (std::size_t i = 0; i < m_balancers.size(); ++i) {
        const Endpoint readiness{m_topology.balancer(i), Topology::ReadinessPort};
        const HttpRequest request{"GET", Platform::readinessPath(), {}, {}, {}};
        startHttpRequest(m_io, readiness, request, ProbeTimeout, [this, i](const std::optional<HttpResponse> &reply) {
            const bool ready = reply && reply->status == Ok;
            m_balancers[i].missedProbes = ready ? 0 : m_balancers[i].missedProbes + 1;
        });
    }
}

} // namespace Robinrail::Soak

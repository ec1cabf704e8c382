// SPDX-License-Identifier: MIT
// Fabric: implementation.
#include "fabric.h"

#include "hash.h"
#include "http.h"
#include "standin_wire.h"

namespace Robinrail::Soak {

namespace {

// The platform asks twice a second, and two misses put a balancer out.
constexpr Duration ProbeInterval = milliseconds(500);
constexpr milliseconds ProbeTimeout{400};
constexpr int MissesUntilOut = 2;

// Shares of packets that go to any balancer, are lost, come twice, or come late by so much.
constexpr double SprayShare = 0.05;
constexpr double LossShare = 0.003;
constexpr double DoubleShare = 0.003;
constexpr double LateShare = 0.01;
constexpr milliseconds LateBy{30};

} // namespace

Fabric::Fabric(boost::asio::io_context &io, const Plan &plan, std::uint64_t seed, DatagramSocket::ReceiveHandler receive)
    : m_io(io)
    , m_plan(plan)
    , m_random(seed)
    , m_socket(io, {plan.caller(), Plan::PacketPort}, std::move(receive))
    , m_nodes(plan.balancers)
{
}

std::size_t Fabric::readyCount() const
{
    return static_cast<std::size_t>(std::count_if(m_nodes.begin(), m_nodes.end(), [](const Node &node) {
        return node.misses < MissesUntilOut;
    }));
}

// Rendezvous hashing over the balancers that are in; all of them if fewer than half are.
std::size_t Fabric::choose(std::uint16_t callerPort)
{
    const bool all = readyCount() * 2 < m_nodes.size();
    std::vector<std::size_t> in;
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        if (all || m_nodes[i].misses < MissesUntilOut) {
            in.push_back(i);
        }
    }
    if (chance(m_random, SprayShare)) {
        return in[pick(m_random, in.size())];
    }
    return *std::max_element(in.begin(), in.end(), [callerPort](std::size_t one, std::size_t other) {
        return rendezvousScore(callerPort, one, 1) < rendezvousScore(callerPort, other, 1);
    });
}

void Fabric::send(TimePoint now, std::uint16_t callerPort, BytesView packet)
{
    const Endpoint to{m_plan.balancer(choose(callerPort)), Plan::PacketPort};
    if (chance(m_random, LossShare)) {
        return;
    }
    if (chance(m_random, LateShare)) {
        m_late.push_back({now + LateBy, to, Bytes(packet.begin(), packet.end())});
        return;
    }
    m_socket.send(to, packet);
    if (chance(m_random, DoubleShare)) {
        m_socket.send(to, packet);
    }
}

void Fabric::tick(TimePoint now)
{
    while (!m_late.empty() && now >= m_late.front().due) {
        m_socket.send(m_late.front().to, BytesView(m_late.front().packet));
        m_late.pop_front();
    }
    if (now >= m_probeDue) {
        m_probeDue = now + ProbeInterval;
        probe();
    }
}

void Fabric::probe()
{
    constexpr unsigned Ok = 200;
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        const Endpoint readiness{m_plan.balancer(i), Plan::ReadinessPort};
        const HttpRequest request{"GET", Platform::readinessPath(), {}, {}, {}};
        startHttpRequest(m_io, readiness, request, ProbeTimeout, [this, i](const std::optional<HttpResponse> &reply) {
            const bool ready = reply && reply->status == Ok;
            m_nodes[i].misses = ready ? 0 : m_nodes[i].misses + 1;
        });
    }
}

} // namespace Robinrail::Soak

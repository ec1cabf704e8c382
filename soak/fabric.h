// SPDX-License-Identifier: MIT
// Fabric: forwards the packets of callers to balancers that report ready, as the platform's routers do.
#pragma once

#include "soak_types.h"
#include "standin_common.h"

#include <deque>

namespace Robinrail::Soak {

class Fabric
{
public:
    Fabric(boost::asio::io_context &io, const Topology &topology, std::uint64_t seed, const DatagramSocket::ReceiveHandler &receive);

    // Sends a caller's packet to a balancer: usually the same one for a flow, occasionally a random one. A few packets are lost,
    // duplicated or delayed.
    void send(TimePoint now, std::uint16_t callerPort, BytesView packet);

    void tick(TimePoint now);

    std::size_t readyBalancers() const;

private:
    struct BalancerHealth {
        int missedProbes = 2; // Consecutive ones. Unhealthy until the first answer.
    };
    struct DelayedPacket {
        TimePoint sendAt;
        Endpoint to;
        Bytes packet;
    };
    std::size_t selectBalancer(std::uint16_t callerPort);
    void probeBalancers();

    boost::asio::io_context &m_io;
    Topology m_topology;
    Random m_random;
    std::deque<DatagramSocket> m_sockets; // One for each address of callers; balancers and targets answer to their ports.
    std::vector<BalancerHealth> m_balancers;
    std::deque<DelayedPacket> m_delayed;
    TimePoint m_nextProbeAt;
};

} // namespace Robinrail::Soak

// SPDX-License-Identifier: MIT
// Fabric: hands each caller's packet to a balancer that says it is ready, as the platform's routers do.
#pragma once

#include "soak_types.h"
#include "standin_common.h"

#include <deque>

namespace Robinrail::Soak {

class Fabric
{
public:
    Fabric(boost::asio::io_context &io, const Plan &plan, std::uint64_t seed, DatagramSocket::ReceiveHandler receive);

    // Sends a caller's packet to a balancer: mostly the same one for a flow, at times any other. A few packets
    // are lost, come twice or late.
    void send(TimePoint now, std::uint16_t callerPort, BytesView packet);

    void tick(TimePoint now);

    std::size_t readyCount() const;

private:
    struct Node {
        int misses = 2; // In a row; out until it answers.
    };
    struct Late {
        TimePoint due;
        Endpoint to;
        Bytes packet;
    };
    std::size_t choose(std::uint16_t callerPort);
    void probe();

    boost::asio::io_context &m_io;
    Plan m_plan;
    Random m_random;
    DatagramSocket m_socket; // Of all callers, at the port where balancers and targets answer.
    std::vector<Node> m_nodes;
    std::deque<Late> m_late;
    TimePoint m_probeDue;
};

} // namespace Robinrail::Soak

// SPDX-License-Identifier: MIT
// Fault proxy: forwards connections to a replica's link port and injects link faults on demand.
#pragma once

#include "soak_types.h"

#include <boost/asio/ip/tcp.hpp>

#include <list>
#include <memory>

namespace Robinrail::Soak {

// Faults that a proxy injects. The current fault applies to all connections, new ones included.
enum class LinkFault : std::uint8_t {
    None,
    Delayed, // Bytes are delayed but stay in order.
    Stalled, // Nothing is forwarded in either direction, and connections stay open.
    ReplicaOutputStalled, // Nothing is forwarded from the replica to its peers.
    ExistingConnectionsStalled, // Connections open at this moment stall permanently; new ones work.
};

class FaultProxy
{
public:
    FaultProxy(boost::asio::io_context &io, Endpoint listen, Endpoint replica);

    void setFault(LinkFault fault, milliseconds delay);

    // Closes all connections with a TCP reset.
    void resetConnections();

private:
    class Connection;
    void accept();

    boost::asio::io_context &m_io;
    Endpoint m_replica;
    boost::asio::ip::tcp::acceptor m_acceptor;
    LinkFault m_fault = LinkFault::None;
    milliseconds m_delay{};
    std::list<std::weak_ptr<Connection>> m_connections;
};

} // namespace Robinrail::Soak

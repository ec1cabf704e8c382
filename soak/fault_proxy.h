// SPDX-License-Identifier: MIT
// Fault proxy: stands between a replica's link port and those who dial it, and misbehaves on demand.
#pragma once

#include "soak_types.h"

#include <boost/asio/ip/tcp.hpp>

#include <list>
#include <memory>

namespace Robinrail::Soak {

// What a proxy does to bytes. Connections follow the present fault, new ones included.
enum class LinkFault : std::uint8_t {
    None,
    Delayed, // Bytes come late, in order.
    Stalled, // Nothing passes in either direction, and nothing is closed.
    ReplicaOutputStalled, // Nothing passes from the replica to those who dialled.
    ExistingConnectionsStalled, // Connections that are open now fall silent for good; new ones work.
};

class FaultProxy
{
public:
    FaultProxy(boost::asio::io_context &io, Endpoint listen, Endpoint replica);

    void setFault(LinkFault fault, milliseconds delay);

    // Breaks all connections off.
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

// SPDX-License-Identifier: MIT
// Loopback network lock: reserves a loopback network against other runs on this machine.
//
// Runs derive the first network to try from their process IDs, modulo the number of networks. With about 200 networks, two
// concurrent runs on a busy machine got the same one, and the second could not bind the addresses of its targets.
#pragma once

#include "soak_types.h"

#include <boost/asio/ip/tcp.hpp>

namespace Robinrail::Soak {

class LoopbackNetworkLock
{
public:
    // Locks the first free network between `first` and `last`, trying from `start` on with wrap-around. If none is free, network()
    // returns 0.
    LoopbackNetworkLock(boost::asio::io_context &io, std::uint8_t first, std::uint8_t last, std::uint8_t start)
        : m_acceptor(io)
    {
        const int networks = last - first + 1;
        for (int i = 0; i < networks && m_network == 0; ++i) {
            const auto network = static_cast<std::uint8_t>(first + (start - first + i) % networks);
            if (tryBind(network)) {
                m_network = network;
            }
        }
    }

    std::uint8_t network() const
    {
        return m_network;
    }

private:
    // The process that listens at the first address of a network holds the lock. The kernel releases it when the process ends.
    bool tryBind(std::uint8_t network)
    {
        using Tcp = boost::asio::ip::tcp;
        constexpr std::uint32_t Loopback = 0x7f000000;
        const Tcp::endpoint endpoint(boost::asio::ip::address_v4(Loopback | std::uint32_t{network} << 16U | 1U), Topology::ControlPort);
        boost::system::error_code error;
        m_acceptor = Tcp::acceptor(m_acceptor.get_executor());
        m_acceptor.open(Tcp::v4(), error);
        if (!error) {
            m_acceptor.bind(endpoint, error);
        }
        if (!error) {
            m_acceptor.listen(1, error);
        }
        return !error;
    }

    boost::asio::ip::tcp::acceptor m_acceptor;
    std::uint8_t m_network = 0;
};

} // namespace Robinrail::Soak

// SPDX-License-Identifier: MIT
// Network claim: a loopback network that no other run on this machine uses while this one holds it.
//
// Runs derive where they begin to look from their process numbers, which repeat modulo the number of networks: two runs side
// by side met in one of 200 or so on a busy machine, and the second could not bind its targets' addresses.
#pragma once

#include "soak_types.h"

#include <boost/asio/ip/tcp.hpp>

namespace Robinrail::Soak {

class LoopbackNetworkLock
{
public:
    // Takes the first free one of the networks from `first` to `last`, looking from `begin` on and around; 0 if none is free.
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
    // Whoever listens at a network's own address has it; the kernel lets it go with the process.
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

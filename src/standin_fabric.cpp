// SPDX-License-Identifier: MIT
// Stand-in fabric: forwards every packet that arrives at one of its addresses to a random balancer.
//
// A real fabric keeps the source address of a packet. An unprivileged process can't, so this one opens a socket for each
// caller: balancers answer to that socket, and the fabric forwards the answer to the caller.
#include "settings.h"
#include "standin.h"
#include "standin_common.h"

#include <boost/asio/signal_set.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>

#include <csignal>
#include <map>
#include <memory>

namespace Robinrail {

namespace {

class FabricAddress
{
public:
    FabricAddress(boost::asio::io_context &io, const StandinRoute &route, const StandinFabricOptions &options, boost::random::mt19937 &random)
        : m_io(io)
        , m_options(options)
        , m_random(random)
        , m_socket(io, *parseEndpoint(route.listen), [this](Endpoint from, BytesView bytes) {
            handleDatagram(from, bytes);
        })
    {
        for (const std::string &balancer : route.balancers) {
            m_balancers.push_back(*parseEndpoint(balancer));
        }
    }

private:
    void handleDatagram(Endpoint caller, BytesView bytes)
    {
        DatagramSocket &socket = socketFor(caller);
        if (chance(m_options.drop)) {
            return;
        }
        socket.send(pickBalancer(), bytes);
        if (chance(m_options.duplicate)) {
            socket.send(pickBalancer(), bytes);
        }
    }

    DatagramSocket &socketFor(Endpoint caller)
    {
        std::unique_ptr<DatagramSocket> &socket = m_callers[caller];
        if (!socket) {
            // The caller's own address with an ephemeral port, so that balancers can tell callers apart.
            socket = std::make_unique<DatagramSocket>(m_io, Endpoint{caller.address, 0}, [this, caller](Endpoint, BytesView bytes) {
                m_socket.send(caller, bytes);
            });
        }
        return *socket;
    }

    Endpoint pickBalancer()
    {
        boost::random::uniform_int_distribution<std::size_t> any(0, m_balancers.size() - 1);
        return m_balancers[any(m_random)];
    }

    bool chance(double part)
    {
        boost::random::uniform_real_distribution<double> uniform(0, 1);
        return part > 0 && uniform(m_random) < part;
    }

    boost::asio::io_context &m_io;
    const StandinFabricOptions &m_options;
    boost::random::mt19937 &m_random;
    DatagramSocket m_socket;
    std::vector<Endpoint> m_balancers;
    std::map<Endpoint, std::unique_ptr<DatagramSocket>> m_callers;
};

} // namespace

int runStandinFabric(const StandinFabricOptions &options)
{
    boost::asio::io_context io;
    boost::random::mt19937 random(options.seed);
    std::vector<std::unique_ptr<FabricAddress>> addresses;
    for (const StandinRoute &route : options.routes) {
        addresses.push_back(std::make_unique<FabricAddress>(io, route, options, random));
    }
    boost::asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&io](const boost::system::error_code &, int) {
        io.stop();
    });
    io.run();
    return 0;
}

} // namespace Robinrail

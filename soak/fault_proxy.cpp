// SPDX-License-Identifier: MIT
// Fault proxy: implementation.
#include "fault_proxy.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <array>

namespace Robinrail::Soak {

using Tcp = boost::asio::ip::tcp;

namespace {

// Interval at which a stalled connection checks whether it may forward again.
constexpr milliseconds StallPollInterval{20};

Tcp::endpoint toTcp(Endpoint endpoint)
{
    return {boost::asio::ip::address_v4(endpoint.address), endpoint.port};
}

} // namespace

// One proxied connection, with at most one buffer in flight per direction. Its pending handlers keep it alive.
class FaultProxy::Connection : public std::enable_shared_from_this<FaultProxy::Connection>
{
public:
    Connection(boost::asio::io_context &io, const FaultProxy &proxy, Tcp::socket peer)
        : m_proxy(proxy)
        , m_peer{std::move(peer), boost::asio::steady_timer(io), {}}
        , m_replica{Tcp::socket(io), boost::asio::steady_timer(io), {}}
    {
    }

    void start(Endpoint replica)
    {
        m_replica.socket.async_connect(toTcp(replica), [self = shared_from_this()](const boost::system::error_code &error) {
            if (error) {
                return self->reset();
            }
            self->relay(self->m_peer, self->m_replica);
            self->relay(self->m_replica, self->m_peer);
        });
    }

    void stallPermanently()
    {
        m_stalled = true;
    }

    void reset()
    {
        for (Side *side : {&m_peer, &m_replica}) {
            boost::system::error_code ignored;
            side->socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
            side->socket.close(ignored);
            side->timer.cancel();
        }
    }

private:
    struct Side {
        Tcp::socket socket;
        boost::asio::steady_timer timer;
        std::array<char, 16384> buffer;
    };

    bool isStalled(const Side &from) const
    {
        const bool outputStalled = m_proxy.m_fault == LinkFault::ReplicaOutputStalled && &from == &m_replica;
        return m_stalled || m_proxy.m_fault == LinkFault::Stalled || outputStalled;
    }

    void relay(Side &from, Side &to)
    {
        from.socket.async_read_some(boost::asio::buffer(from.buffer),
                                    [self = shared_from_this(), &from, &to](const boost::system::error_code &error, std::size_t size) {
                                        if (error) {
                                            return self->reset();
                                        }
                                        const bool delayed = self->m_proxy.m_fault == LinkFault::Delayed;
                                        self->forward(from, to, size, delayed ? self->m_proxy.m_delay : milliseconds{0});
                                    });
    }

    void forward(Side &from, Side &to, std::size_t size, milliseconds delay)
    {
        const milliseconds wait = isStalled(from) ? StallPollInterval : delay;
        if (wait == milliseconds{0}) {
            return write(from, to, size);
        }
        from.timer.expires_after(wait);
        from.timer.async_wait([self = shared_from_this(), &from, &to, size](const boost::system::error_code &error) {
            if (!error) {
                self->forward(from, to, size, milliseconds{0});
            }
        });
    }

    void write(Side &from, Side &to, std::size_t size)
    {
        boost::asio::async_write(to.socket,
                                 boost::asio::buffer(from.buffer.data(), size),
                                 [self = shared_from_this(), &from, &to](const boost::system::error_code &error, std::size_t) {
                                     error ? self->reset() : self->relay(from, to);
                                 });
    }

    const FaultProxy &m_proxy;
    Side m_peer;
    Side m_replica;
    bool m_stalled = false;
};

FaultProxy::FaultProxy(boost::asio::io_context &io, Endpoint listen, Endpoint replica)
    : m_io(io)
    , m_replica(replica)
    , m_acceptor(io, toTcp(listen))
{
    accept();
}

void FaultProxy::accept()
{
    m_acceptor.async_accept([this](const boost::system::error_code &error, Tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted) {
            return;
        }
        if (!error) {
            const auto connection = std::make_shared<Connection>(m_io, *this, std::move(socket));
            m_connections.remove_if([](const std::weak_ptr<Connection> &each) {
                return each.expired();
            });
            m_connections.push_back(connection);
            connection->start(m_replica);
        }
        accept();
    });
}

void FaultProxy::setFault(LinkFault fault, milliseconds delay)
{
    m_fault = fault;
    m_delay = delay;
    for (const std::weak_ptr<Connection> &each : m_connections) {
        if (const std::shared_ptr<Connection> connection = each.lock(); connection && fault == LinkFault::ExistingConnectionsStalled) {
            connection->stallPermanently();
        }
    }
}

void FaultProxy::resetConnections()
{
    for (const std::weak_ptr<Connection> &each : m_connections) {
        if (const std::shared_ptr<Connection> connection = each.lock()) {
            connection->reset();
        }
    }
}

} // namespace Robinrail::Soak

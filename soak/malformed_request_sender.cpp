// SPDX-License-Identifier: MIT
// Malformed request sender: implementation.
#include "malformed_request_sender.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <memory>

namespace Robinrail::Soak {

using Tcp = boost::asio::ip::tcp;

namespace {

// Interval between two requests: each listener of the default topology gets one every two seconds.
constexpr milliseconds MinRequestInterval{100};
constexpr milliseconds MaxRequestInterval{300};

// A connection is closed after this time, whether it was answered or not.
constexpr milliseconds ConnectionTimeout{1000};

// Sends bytes on a new connection and reads until it is closed. Keeps itself alive through its handlers.
class RawConnection : public std::enable_shared_from_this<RawConnection>
{
public:
    RawConnection(boost::asio::io_context &io, std::string bytes)
        : m_socket(io)
        , m_timer(io)
        , m_bytes(std::move(bytes))
    {
    }

    void start(Endpoint endpoint)
    {
        m_timer.expires_after(ConnectionTimeout);
        m_timer.async_wait([self = shared_from_this()](const boost::system::error_code &) {
            boost::system::error_code ignored;
            self->m_socket.close(ignored);
        });
        m_socket.async_connect({boost::asio::ip::address_v4(endpoint.address), endpoint.port},
                               [self = shared_from_this()](const boost::system::error_code &error) {
                                   if (!error) {
                                       self->write();
                                   }
                               });
    }

private:
    void write()
    {
        boost::asio::async_write(m_socket, boost::asio::buffer(m_bytes), [self = shared_from_this()](const boost::system::error_code &error, std::size_t) {
            if (!error) {
                self->read();
            }
        });
    }

    void read()
    {
        m_socket.async_read_some(boost::asio::buffer(m_buffer), [self = shared_from_this()](const boost::system::error_code &error, std::size_t) {
            if (!error) {
                self->read();
            }
        });
    }

    Tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    std::string m_bytes;
    std::array<char, 1024> m_buffer{};
};

// A byte that no UTF-8 text contains, so that no damaged text is valid by chance.
char unreadableByte(Random &random)
{
    return static_cast<char>(0xf5 + uniformIndex(random, 11));
}

// Replaces one to three bytes, none of them the first.
void damage(Random &random, std::string &text)
{
    for (std::size_t count = 1 + uniformIndex(random, 3); count > 0; --count) {
        text[1 + uniformIndex(random, text.size() - 1)] = unreadableByte(random);
    }
}

std::string randomBytes(Random &random, std::size_t count)
{
    std::string bytes;
    while (bytes.size() < count) {
        bytes += static_cast<char>(random());
    }
    return bytes;
}

} // namespace

std::string malformedRequest(Random &random)
{
    constexpr std::size_t MaxRandomBytes = 600;
    constexpr std::size_t OverlongHeader = 9000; // The server reads headers of 8 KiB.
    constexpr std::array<const char *, 7> Paths = {"/instances/i-7f3a91c2", "/config", "/evacuation/there", "/metrics", "/readyz", "/v1/status", "/link"};
    constexpr std::array<const char *, 4> Methods = {"GET", "PUT", "POST", "DELETE"};
    enum class Kind : std::uint8_t {
        Path,
        Headers,
        Body,
        Overlong,
        Incomplete,
        Noise,
    };
    const auto kind = static_cast<Kind>(uniformIndex(random, 6));
    if (kind == Kind::Noise) {
        return randomBytes(random, 1 + uniformIndex(random, MaxRandomBytes));
    }
    std::string path = Paths[uniformIndex(random, Paths.size())];
    std::string headers = "Host: robinrail\r\nUpgrade: websocket\r\nAuthorization: Bearer token";
    std::string body = R"({"version":7,"service":"quotes","address":"127.0.0.1:8080","state":"ready","sequence":1})";
    damage(random, body); // Whatever else is damaged, the request must not be accepted as a change.
    if (kind == Kind::Path) {
        damage(random, path);
    } else if (kind == Kind::Headers) {
        damage(random, headers);
    } else if (kind == Kind::Overlong) {
        headers += "\r\nCookie: " + std::string(OverlongHeader, unreadableByte(random));
    }
    std::string request = std::string(Methods[uniformIndex(random, Methods.size())]) + " " + path + " HTTP/1.1\r\n" + headers
        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    if (kind == Kind::Incomplete) {
        request.resize(uniformIndex(random, request.size()));
    }
    return request;
}

MalformedRequestSender::MalformedRequestSender(boost::asio::io_context &io, const Topology &topology, std::uint64_t seed)
    : m_io(io)
    , m_random(seed)
{
    for (std::size_t i = 0; i < topology.replicas; ++i) {
        m_listeners.push_back({topology.replica(i), Topology::ControlPort});
        m_listeners.push_back({topology.replica(i), Topology::ReplicaLinkPort});
    }
    for (std::size_t i = 0; i < topology.balancers; ++i) {
        m_listeners.push_back({topology.balancer(i), Topology::ReadinessPort});
    }
}

void MalformedRequestSender::tick(TimePoint now)
{
    if (now < m_nextRequestAt) {
        return;
    }
    m_nextRequestAt = now + uniformDuration(m_random, MinRequestInterval, MaxRequestInterval);
    ++m_sentRequests;
    const Endpoint listener = m_listeners[uniformIndex(m_random, m_listeners.size())];
    std::make_shared<RawConnection>(m_io, malformedRequest(m_random))->start(listener);
}

std::size_t MalformedRequestSender::sentRequests() const
{
    return m_sentRequests;
}

} // namespace Robinrail::Soak

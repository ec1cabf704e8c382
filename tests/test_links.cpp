// SPDX-License-Identifier: MIT
// Links: connections of the HTTP server and of the links between nodes, over loopback.
#include "http.h"
#include "net.h"
#include "node_links.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

using namespace Robinrail;
using Tcp = boost::asio::ip::tcp;
using std::chrono::milliseconds;

namespace {

constexpr std::uint32_t Loopback = 0x7f000001;

// A free port, found by binding one and giving it back.
std::uint16_t freePort(boost::asio::io_context &io)
{
    return Tcp::acceptor(io, {boost::asio::ip::address_v4(Loopback), 0}).local_endpoint().port();
}

// A client's connection that collects what comes.
struct Client {
    explicit Client(boost::asio::io_context &io, std::uint16_t port)
        : socket(io)
    {
        socket.connect({boost::asio::ip::address_v4(Loopback), port});
        receive();
    }

    void receive()
    {
        socket.async_read_some(boost::asio::buffer(buffer), [this](const boost::system::error_code &error, std::size_t size) {
            text.append(buffer.data(), size);
            closed = error.failed();
            if (!error) {
                receive();
            }
        });
    }

    void ask(const std::string &path, const std::string &header = {})
    {
        boost::asio::write(socket, boost::asio::buffer("GET " + path + " HTTP/1.1\r\nHost: r\r\n" + header + "\r\n"));
    }

    Tcp::socket socket;
    std::array<char, 1024> buffer{};
    std::string text;
    bool closed = false;
};

bool endsWith(const std::string &text, const std::string &end)
{
    return text.size() >= end.size() && text.compare(text.size() - end.size(), end.size(), end) == 0;
}

} // namespace

TEST_CASE("a client that keeps its connection is answered on it again, one that does not is hung up on")
{
    boost::asio::io_context io;
    const std::uint16_t port = freePort(io);
    HttpServer server(io, [](const HttpRequest &request, const HttpRespond &respond) {
        respond({200, "text/plain", "at " + request.path, {}});
    });
    REQUIRE(server.listen({Loopback, port}));
    Client client(io, port);
    for (const std::string path : {"/one", "/two", "/three"}) {
        client.ask(path);
        while (!client.closed && !endsWith(client.text, "at " + path)) {
            io.run_one();
        }
        REQUIRE_FALSE(client.closed);
    }
    client.ask("/last", "Connection: close\r\n");
    while (!client.closed) {
        io.run_one();
    }
    CHECK(endsWith(client.text, "at /last"));
}

TEST_CASE("a replica that accepts connections and says nothing is dialled by few attempts at once")
{
    boost::asio::io_context io;
    Tcp::acceptor mute(io, {boost::asio::ip::address_v4(Loopback), 0});
    std::vector<Tcp::socket> accepted;
    std::function<void()> accept = [&] {
        mute.async_accept([&](const boost::system::error_code &error, Tcp::socket socket) {
            if (!error) {
                accepted.push_back(std::move(socket));
                accept();
            }
        });
    };
    accept();
    NodeLinks links(io, {NodeRole::Balancer, ReplicaId{0}, DataCentreId{1}}, {[](auto...) {}, [](auto...) {}, [](auto...) {}});
    links.maintain({ReplicaId{Loopback}}, mute.local_endpoint().port());
    TimePoint now = monotonicNow();
    for (int i = 0; i < 40; ++i) {
        now += milliseconds(50);
        links.tick(now);
        io.poll();
    }
    while (accepted.size() < MostOpenAttempts) {
        io.run_one();
    }
    io.poll();
    CHECK(accepted.size() == MostOpenAttempts);
    // Attempts whose end nobody told are forgotten in time, so that dialling never stops.
    now += AttemptMemory;
    links.tick(now);
    while (accepted.size() == MostOpenAttempts) {
        io.run_one();
    }
    CHECK(accepted.size() > MostOpenAttempts);
}

// SPDX-License-Identifier: MIT
// Links: connections of the HTTP server and links between nodes, over loopback.
#include "fault_proxy.h"
#include "http.h"
#include "net.h"
#include "node_links.h"
#include "raft_core.h"
#include "reachability_tracker.h"
#include "secure_links.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

using namespace Robinrail;
using Tcp = boost::asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint32_t Loopback = 0x7f000001;

// Finds a free port by binding one and releasing it.
std::uint16_t freePort(boost::asio::io_context &io)
{
    return Tcp::acceptor(io, {boost::asio::ip::address_v4(Loopback), 0}).local_endpoint().port();
}

// A client connection that collects the bytes received.
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

    void get(const std::string &path, const std::string &header = {})
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

TEST_CASE("an HTTP client that keeps its connection gets several answers on it, and Connection: close ends it after the answer")
{
    boost::asio::io_context io;
    const std::uint16_t port = freePort(io);
    HttpServer server(io, [](const HttpRequest &request, const HttpResponder &respond) {
        respond({200, "text/plain", "at " + request.path, {}});
    });
    REQUIRE(server.listen({Loopback, port}));
    Client client(io, port);
    for (const std::string path : {"/one", "/two", "/three"}) {
        client.get(path);
        while (!client.closed && !endsWith(client.text, "at " + path)) {
            io.run_one();
        }
        REQUIRE_FALSE(client.closed);
    }
    client.get("/last", "Connection: close\r\n");
    while (!client.closed) {
        io.run_one();
    }
    CHECK(endsWith(client.text, "at /last"));
}

TEST_CASE("a flood of connections closes those that were idle longest, none with a pending answer, and stays within the limit")
{
    constexpr std::size_t MaxConnections = 8;
    boost::asio::io_context io;
    const std::uint16_t port = freePort(io);
    std::vector<HttpResponder> pending;
    HttpServer server(
        io,
        [&pending](const HttpRequest &request, const HttpResponder &respond) {
            request.path == "/slow" ? pending.push_back(respond) : respond({200, "text/plain", "at " + request.path, {}});
        },
        MaxConnections);
    REQUIRE(server.listen({Loopback, port}));
    Client waiting(io, port);
    waiting.get("/slow");
    while (pending.empty()) {
        io.run_one();
    }
    std::vector<std::unique_ptr<Client>> clients;
    for (std::size_t i = 0; i < 3 * MaxConnections; ++i) {
        clients.push_back(std::make_unique<Client>(io, port));
        clients.back()->get("/one");
        while (!endsWith(clients.back()->text, "at /one")) {
            io.run_one();
        }
        CHECK(server.connections() <= MaxConnections);
    }
    while (!clients.front()->closed) {
        io.run_one();
    }
    CHECK_FALSE(clients.back()->closed);
    pending.front()({200, "text/plain", "at last", {}});
    while (!endsWith(waiting.text, "at last")) {
        io.run_one();
    }
    CHECK_FALSE(waiting.closed);
}

TEST_CASE("the connection of a client that is redirected is closed after the answer")
{
    boost::asio::io_context io;
    const std::uint16_t port = freePort(io);
    HttpServer server(io, [](const HttpRequest &, const HttpResponder &respond) {
        HttpResponse reply{200, "text/plain", "go on there", {}};
        reply.closeConnection = true;
        respond(reply);
    });
    REQUIRE(server.listen({Loopback, port}));
    Client client(io, port);
    client.get("/one");
    while (!client.closed) {
        io.run_one();
    }
    CHECK(endsWith(client.text, "go on there"));
    CHECK(server.connections() == 0);
}

TEST_CASE("a replica that accepts connections but sends nothing gets few attempts at once")
{
    boost::asio::io_context io;
    Tcp::acceptor acceptor(io, {boost::asio::ip::address_v4(Loopback), 0});
    std::vector<Tcp::socket> accepted;
    std::function<void()> accept = [&] {
        acceptor.async_accept([&](const boost::system::error_code &error, Tcp::socket socket) {
            if (!error) {
                accepted.push_back(std::move(socket));
                accept();
            }
        });
    };
    accept();
    NodeLinks links(io, {NodeRole::Balancer, ReplicaId{0}, DataCentreId{1}}, {[](auto...) {}, [](auto...) {}, [](auto...) {}, [](auto...) {}});
    links.maintain({ReplicaId{Loopback}}, acceptor.local_endpoint().port());
    TimePoint now = monotonicNow();
    // Once the websocket request has arrived, the dialler has noticed that the connection was accepted.
    for (std::size_t i = 1; i <= MaxConcurrentHandshakes; ++i) {
        now += InitialDialInterval;
        links.tick(now);
        while (accepted.size() < i || accepted.back().available() == 0) {
            io.poll();
        }
    }
    for (int i = 0; i < 40; ++i) {
        now += InitialDialInterval;
        links.tick(now);
        io.poll();
    }
    CHECK(accepted.size() == MaxConcurrentHandshakes);
    // Handshakes that never end stop counting after HandshakeExpiry, so that dialling goes on.
    now += HandshakeExpiry;
    links.tick(now);
    while (accepted.size() == MaxConcurrentHandshakes) {
        io.run_one();
    }
    CHECK(accepted.size() > MaxConcurrentHandshakes);
}

TEST_CASE("a replica that dials no peers sends over the link that a peer dialled")
{
    constexpr ReplicaId Dialled{Loopback};
    constexpr ReplicaId Dialler{Loopback + 1};
    boost::asio::io_context io;
    const std::uint16_t port = freePort(io);
    NodeLinks dialled(io, {NodeRole::Replica, Dialled, DataCentreId{1}}, {[](auto...) {}, [](auto...) {}, [](auto...) {}, [](auto...) {}});
    bool answered = false;
    NodeLinks dialler(io,
                      {NodeRole::Replica, Dialler, DataCentreId{1}},
                      {[](auto...) {},
                       [](auto...) {},
                       [&answered](LinkHandle, const NodeHello &peer, const NodeMessage &message) {
                           answered = peer.replica == Dialled && std::holds_alternative<RoutingRequest>(message);
                       },
                       [](auto...) {}});
    REQUIRE(dialled.listen({Loopback, port}));
    dialler.maintain({Dialled}, port);
    dialler.tick(monotonicNow());
    while (dialler.linkTo(Dialled) == 0 || dialled.acceptedFrom(NodeRole::Replica).empty()) {
        io.run_one();
    }
    REQUIRE(dialled.linkTo(Dialler) != 0);
    dialled.send(dialled.linkTo(Dialler), RoutingRequest{});
    while (!answered) {
        io.run_one();
    }
}

// One connection can stop delivering for good while others work. Raft messages must use a working link again within the time
// after which a leader without contact to a majority steps down.
TEST_CASE("of two links to a replica the one that fell silent is no longer used before a leader would step down")
{
    constexpr ReplicaId Near{Loopback};
    constexpr ReplicaId Far{Loopback + 1};
    constexpr Duration Tick = milliseconds(25);
    boost::asio::io_context io;
    const std::uint16_t port = freePort(io);
    const std::uint16_t farListenPort = freePort(io);
    Soak::FaultProxy proxy(io, {value(Far), port}, {value(Far), farListenPort});
    bool requestReceived = false;
    NodeLinks near(io, {NodeRole::Replica, Near, DataCentreId{1}}, {[](auto...) {}, [](auto...) {}, [](auto...) {}, [](auto...) {}});
    const auto received = [&requestReceived](LinkHandle, const NodeHello &, const NodeMessage &message) {
        requestReceived = std::holds_alternative<RoutingRequest>(message);
    };
    NodeLinks far(io, {NodeRole::Replica, Far, DataCentreId{1}}, {[](auto...) {}, [](auto...) {}, received, [](auto...) {}});
    REQUIRE(near.listen({value(Near), port}));
    REQUIRE(far.listen({value(Far), farListenPort}));
    near.maintain({Far}, port);
    far.maintain({Near}, port);
    TimePoint now = monotonicNow();
    const auto advance = [&](Duration duration) {
        for (const TimePoint end = now + duration; now < end;) {
            now += Tick;
            near.tick(now);
            far.tick(now);
            while (io.poll() > 0) { }
        }
    };
    while (near.dialled().empty() || far.dialled().empty() || near.acceptedFrom(NodeRole::Replica).empty()) {
        advance(Tick);
    }
    advance(LinkPingInterval);
    const LinkHandle silent = near.dialled().front();
    proxy.setFault(Soak::LinkFault::ExistingConnectionsStalled, {});
    const TimePoint silencedAt = now;
    while (near.linkTo(Far) == silent && now - silencedAt < LinkTimeout * 2) {
        advance(Tick);
    }
    CHECK(now - silencedAt < ElectionTimeout * 2);
    near.send(near.linkTo(Far), RoutingRequest{});
    for (int i = 0; i < 1000 && !requestReceived; ++i) {
        io.poll();
    }
    CHECK(requestReceived);
}

// Without a reset such a connection stays open, and only one connection to an address is dialled: messages on it are lost for
// as long as the kernel retransmits.
TEST_CASE("a secure link that falls silent for good is closed and dialled again")
{
    constexpr std::uint16_t Dialler = 1;
    constexpr std::uint16_t Dialled = 2;
    constexpr Duration Tick = milliseconds(25);
    boost::asio::io_context io;
    const std::uint16_t port = freePort(io);
    const std::uint16_t listenPort = freePort(io);
    Soak::FaultProxy proxy(io, {Loopback, port}, {Loopback, listenPort});
    int established = 0;
    int closed = 0;
    bool reportReceived = false;
    SecureLinkCallbacks atDialler;
    atDialler.established = [&established](auto...) {
        ++established;
    };
    atDialler.received = [](auto...) {};
    atDialler.closed = [&closed](auto...) {
        ++closed;
    };
    SecureLinkCallbacks atDialled{[](auto...) {}, {}, [](auto...) {}};
    atDialled.received = [&reportReceived](LinkHandle, const Hello &peer, const LinkMessage &message) {
        reportReceived = peer.id == Dialler && std::holds_alternative<VersionReport>(message);
    };
    SecureLinks dialler(io, ClusterKey{}, PeerRole::Balancer, Dialler, atDialler);
    SecureLinks dialled(io, ClusterKey{}, PeerRole::Control, Dialled, atDialled);
    REQUIRE(dialled.listen({Loopback, listenPort}));
    dialler.maintain({Loopback, port});
    TimePoint now = monotonicNow();
    const auto advanceUntil = [&](const auto &condition) {
        for (const TimePoint end = now + seconds(60); now < end && !condition();) {
            now += Tick;
            dialler.tick(now);
            dialled.tick(now);
            io.run_one_for(milliseconds(1));
            while (io.poll() > 0) { }
        }
        return condition();
    };
    REQUIRE(advanceUntil([&] {
        return established == 1 && !dialled.linksTo(PeerRole::Balancer, Dialler).empty();
    }));
    const TimePoint establishedAt = now;
    advanceUntil([&] {
        return now - establishedAt >= LinkPingInterval * 2;
    });
    proxy.setFault(Soak::LinkFault::ExistingConnectionsStalled, {});
    const TimePoint silencedAt = now;
    REQUIRE(advanceUntil([&] {
        return closed == 1;
    }));
    CHECK(now - silencedAt <= LinkTimeout + LinkPingInterval);
    REQUIRE(advanceUntil([&] {
        return established == 2;
    }));
    dialler.send(dialler.linksTo(PeerRole::Control, Dialled).front(), VersionReport{});
    CHECK(advanceUntil([&reportReceived] {
        return reportReceived;
    }));
}

TEST_CASE("a replica is reported once when it becomes unreachable and once when it is reachable again, and every lost message is counted")
{
    constexpr ReplicaId Peer{7};
    ReachabilityTracker watch;
    CHECK_FALSE(watch.recordSend(Peer, true));
    CHECK(watch.recordSend(Peer, false));
    CHECK_FALSE(watch.recordSend(Peer, false));
    CHECK(watch.recordSend(ReplicaId{8}, false));
    CHECK(watch.recordSend(Peer, true));
    CHECK_FALSE(watch.recordSend(Peer, true));
    CHECK(watch.unsent() == 3);
}

TEST_CASE("a peer that comes back at any time in the first half second is dialled within 50 ms")
{
    DialSchedule schedule;
    TimePoint now{};
    TimePoint previousAttempt = now;
    // The peer is down: no attempt ends, and none delays the next one.
    for (; now < TimePoint{} + milliseconds(500); now += milliseconds(5)) {
        if (schedule.due(now)) {
            CHECK(now - previousAttempt <= InitialDialInterval);
            previousAttempt = now;
            schedule.attemptStarted(now);
        }
    }
    // The intervals grow while the peer stays down.
    int attempts = 0;
    for (; now < TimePoint{} + seconds(60); now += milliseconds(5)) {
        if (schedule.due(now)) {
            ++attempts;
            schedule.attemptStarted(now);
        }
    }
    CHECK(attempts < 150);
    schedule.linkEstablished();
    schedule.attemptStarted(now);
    CHECK(schedule.due(now + InitialDialInterval));
}

TEST_CASE("a peer that answers slowly gets two handshakes at once, and further ones when those have ended or expired")
{
    DialSchedule schedule;
    TimePoint now{};
    for (int i = 0; i < MaxConcurrentHandshakes; ++i) {
        schedule.attemptStarted(now);
        schedule.connected(now);
    }
    now += MaxDialInterval;
    CHECK_FALSE(schedule.due(now));
    schedule.handshakeEnded();
    CHECK(schedule.due(now));
    schedule.attemptStarted(now);
    schedule.connected(now);
    CHECK_FALSE(schedule.due(now + HandshakeExpiry - milliseconds(1)));
    now += HandshakeExpiry;
    CHECK(schedule.due(now));
    schedule.attemptStarted(now);
    CHECK(schedule.due(now + InitialDialInterval));
}

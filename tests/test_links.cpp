// SPDX-License-Identifier: MIT
// Links: connections of the HTTP server and of the links between nodes, over loopback.
#include "fault_proxy.h"
#include "http.h"
#include "net.h"
#include "node_links.h"
#include "raft_core.h"
#include "reach_watch.h"
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

TEST_CASE("a flood of connections closes those that rested longest, none with an answer due, and no more than are allowed")
{
    constexpr std::size_t Most = 8;
    boost::asio::io_context io;
    const std::uint16_t port = freePort(io);
    std::vector<HttpRespond> due;
    HttpServer server(
        io,
        [&due](const HttpRequest &request, const HttpRespond &respond) {
            request.path == "/slow" ? due.push_back(respond) : respond({200, "text/plain", "at " + request.path, {}});
        },
        Most);
    REQUIRE(server.listen({Loopback, port}));
    Client waiting(io, port);
    waiting.ask("/slow");
    while (due.empty()) {
        io.run_one();
    }
    std::vector<std::unique_ptr<Client>> flood;
    for (std::size_t i = 0; i < 3 * Most; ++i) {
        flood.push_back(std::make_unique<Client>(io, port));
        flood.back()->ask("/one");
        while (!endsWith(flood.back()->text, "at /one")) {
            io.run_one();
        }
        CHECK(server.connections() <= Most);
    }
    while (!flood.front()->closed) {
        io.run_one();
    }
    CHECK_FALSE(flood.back()->closed);
    due.front()({200, "text/plain", "at last", {}});
    while (!endsWith(waiting.text, "at last")) {
        io.run_one();
    }
    CHECK_FALSE(waiting.closed);
}

TEST_CASE("a client that is sent elsewhere is hung up on behind its answer")
{
    boost::asio::io_context io;
    const std::uint16_t port = freePort(io);
    HttpServer server(io, [](const HttpRequest &, const HttpRespond &respond) {
        HttpReply reply{200, "text/plain", "go on there", {}};
        reply.last = true;
        respond(reply);
    });
    REQUIRE(server.listen({Loopback, port}));
    Client client(io, port);
    client.ask("/one");
    while (!client.closed) {
        io.run_one();
    }
    CHECK(endsWith(client.text, "go on there"));
    CHECK(server.connections() == 0);
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
    NodeLinks links(io, {NodeRole::Balancer, ReplicaId{0}, DataCentreId{1}}, {[](auto...) {}, [](auto...) {}, [](auto...) {}, [](auto...) {}});
    links.maintain({ReplicaId{Loopback}}, mute.local_endpoint().port());
    TimePoint now = monotonicNow();
    // The opening request on a connection shows that its dialler knows of the answer.
    for (std::size_t i = 1; i <= MaxHandshakes; ++i) {
        now += DialPause;
        links.tick(now);
        while (accepted.size() < i || accepted.back().available() == 0) {
            io.poll();
        }
    }
    for (int i = 0; i < 40; ++i) {
        now += DialPause;
        links.tick(now);
        io.poll();
    }
    CHECK(accepted.size() == MaxHandshakes);
    // Attempts whose end nobody told are forgotten in time, so that dialling never stops.
    now += HandshakeMemory;
    links.tick(now);
    while (accepted.size() == MaxHandshakes) {
        io.run_one();
    }
    CHECK(accepted.size() > MaxHandshakes);
}

TEST_CASE("a replica that dials nobody reaches the one that dialled it, on that one's link")
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

// A connection can fall silent for good while others work. The bound is the time after which a leader that heard nothing from
// a majority steps down: consensus must be back on a working link before.
TEST_CASE("of two links to a replica the one that fell silent is left before a leader would give up")
{
    constexpr ReplicaId Near{Loopback};
    constexpr ReplicaId Far{Loopback + 1};
    constexpr Duration Tick = milliseconds(25);
    boost::asio::io_context io;
    const std::uint16_t port = freePort(io);
    const std::uint16_t farListens = freePort(io);
    Soak::FaultProxy proxy(io, {value(Far), port}, {value(Far), farListens});
    bool asked = false;
    NodeLinks near(io, {NodeRole::Replica, Near, DataCentreId{1}}, {[](auto...) {}, [](auto...) {}, [](auto...) {}, [](auto...) {}});
    const auto received = [&asked](LinkHandle, const NodeHello &, const NodeMessage &message) {
        asked = std::holds_alternative<RoutingRequest>(message);
    };
    NodeLinks far(io, {NodeRole::Replica, Far, DataCentreId{1}}, {[](auto...) {}, [](auto...) {}, received, [](auto...) {}});
    REQUIRE(near.listen({value(Near), port}));
    REQUIRE(far.listen({value(Far), farListens}));
    near.maintain({Far}, port);
    far.maintain({Near}, port);
    TimePoint now = monotonicNow();
    const auto pass = [&](Duration duration) {
        for (const TimePoint end = now + duration; now < end;) {
            now += Tick;
            near.tick(now);
            far.tick(now);
            while (io.poll() > 0) { }
        }
    };
    while (near.dialled().empty() || far.dialled().empty() || near.acceptedFrom(NodeRole::Replica).empty()) {
        pass(Tick);
    }
    pass(LinkPingInterval);
    const LinkHandle silent = near.dialled().front();
    proxy.setFault(Soak::LinkFault::ExistingConnectionsStalled, {});
    const TimePoint fell = now;
    while (near.linkTo(Far) == silent && now - fell < LinkSilenceLimit * 2) {
        pass(Tick);
    }
    CHECK(now - fell < ElectionTimeout * 2);
    near.send(near.linkTo(Far), RoutingRequest{});
    for (int i = 0; i < 1000 && !asked; ++i) {
        io.poll();
    }
    CHECK(asked);
}

// Without a reset nothing ever ends such a connection, and a replica dials an address once: what is said to it is lost, for
// as long as the kernel tries to deliver it.
TEST_CASE("a secure link that falls silent for good is closed and dialled anew")
{
    constexpr std::uint16_t Dialler = 1;
    constexpr std::uint16_t Dialled = 2;
    constexpr Duration Tick = milliseconds(25);
    boost::asio::io_context io;
    const std::uint16_t port = freePort(io);
    const std::uint16_t listens = freePort(io);
    Soak::FaultProxy proxy(io, {Loopback, port}, {Loopback, listens});
    int established = 0;
    int closed = 0;
    bool reported = false;
    SecureLinkCallbacks atDialler;
    atDialler.established = [&established](auto...) {
        ++established;
    };
    atDialler.received = [](auto...) {};
    atDialler.closed = [&closed](auto...) {
        ++closed;
    };
    SecureLinkCallbacks atDialled{[](auto...) {}, {}, [](auto...) {}};
    atDialled.received = [&reported](LinkHandle, const Hello &peer, const LinkMessage &message) {
        reported = peer.id == Dialler && std::holds_alternative<VersionReport>(message);
    };
    SecureLinks dialler(io, ClusterKey{}, PeerRole::Balancer, Dialler, atDialler);
    SecureLinks dialled(io, ClusterKey{}, PeerRole::Control, Dialled, atDialled);
    REQUIRE(dialled.listen({Loopback, listens}));
    dialler.maintain({Loopback, port});
    TimePoint now = monotonicNow();
    const auto passUntil = [&](const auto &condition) {
        for (const TimePoint end = now + seconds(60); now < end && !condition();) {
            now += Tick;
            dialler.tick(now);
            dialled.tick(now);
            io.run_one_for(milliseconds(1));
            while (io.poll() > 0) { }
        }
        return condition();
    };
    REQUIRE(passUntil([&] {
        return established == 1 && !dialled.linksTo(PeerRole::Balancer, Dialler).empty();
    }));
    const TimePoint up = now;
    passUntil([&] {
        return now - up >= LinkPingInterval * 2;
    });
    proxy.setFault(Soak::LinkFault::ExistingConnectionsStalled, {});
    const TimePoint fell = now;
    REQUIRE(passUntil([&] {
        return closed == 1;
    }));
    CHECK(now - fell <= LinkSilenceLimit + LinkPingInterval);
    REQUIRE(passUntil([&] {
        return established == 2;
    }));
    dialler.send(dialler.linksTo(PeerRole::Control, Dialled).front(), VersionReport{});
    CHECK(passUntil([&reported] {
        return reported;
    }));
}

TEST_CASE("a replica that is not reached is news once, and so is that it is reached again, while each lost message counts")
{
    constexpr ReplicaId Peer{7};
    ReachWatch watch;
    CHECK_FALSE(watch.note(Peer, true));
    CHECK(watch.note(Peer, false));
    CHECK_FALSE(watch.note(Peer, false));
    CHECK(watch.note(ReplicaId{8}, false));
    CHECK(watch.note(Peer, true));
    CHECK_FALSE(watch.note(Peer, true));
    CHECK(watch.unsent() == 3);
}

TEST_CASE("a peer that comes back at any moment of the first half second is dialled within 50 ms")
{
    DialSchedule schedule;
    TimePoint now{};
    TimePoint before = now;
    // The peer is dark: no attempt ends, and none keeps the next one back.
    for (; now < TimePoint{} + milliseconds(500); now += milliseconds(5)) {
        if (schedule.due(now)) {
            CHECK(now - before <= DialPause);
            before = now;
            schedule.began(now);
        }
    }
    // One that stays dark is dialled ever more rarely.
    int attempts = 0;
    for (; now < TimePoint{} + seconds(60); now += milliseconds(5)) {
        if (schedule.due(now)) {
            ++attempts;
            schedule.began(now);
        }
    }
    CHECK(attempts < 150);
    schedule.linked();
    schedule.began(now);
    CHECK(schedule.due(now + DialPause));
}

TEST_CASE("a peer that answers slowly gets two handshakes at once, and more once those are over or forgotten")
{
    DialSchedule schedule;
    TimePoint now{};
    for (int i = 0; i < MaxHandshakes; ++i) {
        schedule.began(now);
        schedule.connected(now);
    }
    now += MaxDialPause;
    CHECK_FALSE(schedule.due(now));
    schedule.handshakeEnded();
    CHECK(schedule.due(now));
    schedule.began(now);
    schedule.connected(now);
    CHECK_FALSE(schedule.due(now + HandshakeMemory - milliseconds(1)));
    now += HandshakeMemory;
    CHECK(schedule.due(now));
    schedule.began(now);
    CHECK(schedule.due(now + DialPause));
}

// SPDX-License-Identifier: MIT
// Path of opening pins: a replica node over loopback, with balancers of two data centres and another replica.
#include "opening_pins.h"
#include "replica_node.h"
#include "test_disk.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <doctest/doctest.h>

using namespace Robinrail;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint32_t ReplicaAddress = 0x7f070001; // 127.7.0.1
constexpr std::uint32_t OtherReplicaAddress = ReplicaAddress + 1;
constexpr std::uint16_t AdminPort = 70; // Part of the seed address; no server listens there.
constexpr DataCentreId Here{1};
constexpr DataCentreId There{2};

std::uint16_t freePort(boost::asio::io_context &io)
{
    return boost::asio::ip::tcp::acceptor(io, {boost::asio::ip::address_v4(ReplicaAddress), 0}).local_endpoint().port();
}

SteeringSettings settingsOf(std::uint16_t port, const std::filesystem::path &folder)
{
    SteeringSettings file;
    file.node = "replica";
    file.dataCentres = {"here", "there"};
    file.dataCentre = "here";
    file.adminListen = {ReplicaAddress, AdminPort};
    file.seeds = {{OtherReplicaAddress, AdminPort}};
    file.linkPort = port;
    file.linkListenPort = port;
    file.announceInterval = seconds(1);
    file.maxLostReplicas = 1;
    file.stopGracePeriod = seconds(6);
    file.dataFolder = folder;
    return file;
}

// A node that counts the pins that it receives.
struct Peer {
    Peer(boost::asio::io_context &io, const NodeHello &hello)
        : links(io,
                hello,
                {[](auto...) {},
                 [](auto...) {},
                 [this](LinkHandle, const NodeHello &, const NodeMessage &message) {
                     if (const auto *list = std::get_if<OpeningPins>(&message)) {
                         pins += list->pins.size();
                     }
                 },
                 [](auto...) {}})
    {
    }

    void send(const OpeningPins &message)
    {
        links.send(links.linkTo(ReplicaId{ReplicaAddress}), message);
    }

    std::size_t pins = 0;
    NodeLinks links;
};

struct Cluster {
    boost::asio::io_context io;
    std::uint16_t port = freePort(io);
    TemporaryFolder folder;
    ReplicaNode node{io, settingsOf(port, folder.path() / "replica")};
    Peer first{io, {NodeRole::Balancer, ReplicaId{0}, Here}};
    Peer second{io, {NodeRole::Balancer, ReplicaId{0}, Here}};
    Peer remote{io, {NodeRole::Balancer, ReplicaId{0}, There}};
    Peer replica{io, {NodeRole::Replica, ReplicaId{OtherReplicaAddress}, There}};

    Cluster()
    {
        REQUIRE(replica.links.listen({OtherReplicaAddress, port}));
        REQUIRE(node.start());
        for (Peer *peer : peers()) {
            peer->links.maintain({ReplicaId{ReplicaAddress}}, port);
        }
        const TimePoint end = monotonicNow() + seconds(10);
        const auto complete = [this] {
            return first.links.dialled().size() + second.links.dialled().size() + remote.links.dialled().size() + replica.links.dialled().size() == 4
                && !replica.links.acceptedFrom(NodeRole::Replica).empty();
        };
        while (!complete() && monotonicNow() < end) {
            run(milliseconds(10));
        }
        REQUIRE(complete());
        run(milliseconds(100)); // For the second hellos.
    }

    std::array<Peer *, 4> peers()
    {
        return {&first, &second, &remote, &replica};
    }

    void run(Duration duration)
    {
        for (Peer *peer : peers()) {
            peer->links.tick(monotonicNow());
        }
        io.run_for(duration);
    }

    // Pins received by the balancers here, the balancer there and the other replica.
    std::array<std::size_t, 4> received()
    {
        run(milliseconds(100));
        return {first.pins, second.pins, remote.pins, replica.pins};
    }
};

OpeningPins messageOf(DataCentreId dataCentre, std::size_t count)
{
    const OpeningPin pin{{{1, 2}, {3, 4}}, FlowToken{5}, milliseconds(60), false};
    return toMessage(dataCentre, std::vector<OpeningPin>(count, pin));
}

} // namespace

// Guards against pins that return to their sender, go in circles between replicas, or reach balancers that do not need them.
TEST_CASE("a replica passes pins on to the sender's data centre and, if a balancer sent them, to the other replicas")
{
    using Counts = std::array<std::size_t, 4>;
    Cluster cluster;
    SUBCASE("from a balancer of its own data centre")
    {
        cluster.first.send(messageOf(Here, 3));
        CHECK(cluster.received() == Counts{0, 3, 0, 3});
    }
    SUBCASE("from a balancer that names another data centre")
    {
        cluster.first.send(messageOf(There, 3));
        CHECK(cluster.received() == Counts{0, 3, 0, 3});
    }
    SUBCASE("from a balancer of another data centre")
    {
        cluster.remote.send(messageOf(There, 2));
        CHECK(cluster.received() == Counts{0, 0, 0, 2});
    }
    SUBCASE("from a replica")
    {
        cluster.replica.send(messageOf(There, 2));
        CHECK(cluster.received() == Counts{0, 0, 2, 0});
    }
    SUBCASE("more than the bound")
    {
        cluster.first.send(messageOf(Here, MaxPinsPerMessage));
        CHECK(cluster.received() == Counts{0, MaxForwardedPins, 0, MaxForwardedPins});
        CHECK(cluster.node.metricsText().find(R"(robinrail_opening_pins_forwarded_total{result="dropped"} 48)") != std::string::npos);
    }
    SUBCASE("malformed")
    {
        OpeningPins malformed = messageOf(Here, 2);
        malformed.routes.clear();
        cluster.first.send(malformed);
        cluster.first.send(messageOf(Here, 1));
        CHECK(cluster.received() == Counts{0, 1, 0, 1});
        CHECK(cluster.node.metricsText().find("robinrail_opening_pins_malformed_total 1") != std::string::npos);
    }
}

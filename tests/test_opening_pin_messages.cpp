// SPDX-License-Identifier: MIT
// Lists of opening pins as messages, and peers of releases without them.
#include "node_links.h"
#include "pin_fixture.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <doctest/doctest.h>

#include <algorithm>

using namespace Robinrail;
using std::chrono::milliseconds;

TEST_CASE("a list of pins keeps its content at about 20 bytes per pin, and a malformed one is not read")
{
    std::vector<OpeningPin> pins;
    for (std::uint32_t caller = 0; caller < MaxPinsPerMessage; ++caller) {
        pins.push_back(pinOf(caller, 101, milliseconds(100), caller % 2 == 0));
    }
    pins.back().flow.route = DeckRoute;
    const Bytes bytes = encodeMessage(NodeMessage(toMessage(LocalDataCentre, pins)));
    CHECK(bytes.size() < 20 * pins.size() + 40);
    const auto decoded = decodeMessage<NodeMessage>(bytes);
    REQUIRE(decoded);
    OpeningPins message = std::get<OpeningPins>(*decoded);
    CHECK(message.dataCentre == LocalDataCentre);
    CHECK(pinsOf(message) == pins);
    SUBCASE("route that is not in the list")
    {
        message.routes.pop_back();
    }
    SUBCASE("no token")
    {
        message.pins.front().target = FlowToken{};
    }
    SUBCASE("too many")
    {
        message.pins.resize(MaxPinsPerMessage + 1, message.pins.front());
    }
    CHECK_FALSE(pinsOf(message));
}

// Guards against a release that closes its links to all nodes of the next one: it can't read a message of an unknown kind. Its
// hello is sent once; a second one, which it ignores, has the encoding of the first.
TEST_CASE("a peer of a release without opening pins gets none, and its link stays")
{
    constexpr std::uint32_t Loopback = 0x7f000001;
    const Bytes hello{0x82, 0x00, 0x83, 0x01, 0x00, 0x01};
    CHECK(encodeMessage(NodeMessage(NodeHello{NodeRole::Balancer, ReplicaId{0}, DataCentreId{1}})) == hello);
    bool later = false;
    SUBCASE("earlier release")
    {
    }
    SUBCASE("this release")
    {
        later = true;
    }
    boost::asio::io_context io;
    boost::asio::ip::tcp::acceptor probe(io, {boost::asio::ip::address_v4(Loopback), 0});
    const std::uint16_t port = probe.local_endpoint().port();
    probe.close();
    NodeLinks replica(io, {NodeRole::Replica, ReplicaId{Loopback}, DataCentreId{1}}, {[](auto...) {}, [](auto...) {}, [](auto...) {}, [](auto...) {}});
    REQUIRE(replica.listen({Loopback, port}));
    std::vector<std::size_t> kinds; // Of the messages that the peer received.
    LinkHandle link = 0;
    bool closed = false;
    WebsocketHub peer(io,
                      MaxLinkMessageSize,
                      {[&link](LinkHandle handle, std::uint64_t) {
                           link = handle;
                       },
                       [&kinds](LinkHandle, const std::vector<std::uint8_t> &bytes) {
                           kinds.push_back(messageTypeIndex(bytes).value());
                       },
                       [&closed](LinkHandle, std::uint64_t) {
                           closed = true;
                       },
                       [](std::uint64_t) {},
                       [](std::uint64_t, bool) {}});
    peer.connect("127.0.0.1", port, 1);
    while (link == 0) {
        io.run_one();
    }
    for (int i = 0; i < (later ? 2 : 1); ++i) {
        peer.send(link, hello);
    }
    peer.send(link, encodeMessage(NodeMessage(NodePing{})));
    while (replica.acceptedFrom(NodeRole::Balancer, DataCentreId{1}).empty()) {
        io.run_one();
    }
    io.run_for(milliseconds(20)); // For the second hello.
    CHECK(replica.acceptedFrom(NodeRole::Balancer, DataCentreId{2}).empty());
    const std::vector<LinkHandle> links = replica.acceptedFrom(NodeRole::Balancer);
    const std::vector<OpeningPin> pins{pinOf(1, 101)};
    replica.sendAll(links, toMessage(LocalDataCentre, pins));
    replica.send(links.front(), toMessage(LocalDataCentre, pins));
    replica.send(links.front(), RoutingRequest{});
    const std::size_t request = NodeMessage(RoutingRequest{}).index();
    while (!closed && (kinds.empty() || kinds.back() != request)) {
        io.run_one();
    }
    CHECK_FALSE(closed);
    CHECK(std::count(kinds.begin(), kinds.end(), NodeMessage(OpeningPins{}).index()) == (later ? 2 : 0));
    PrometheusWriter text;
    replica.writeMetrics(text);
    CHECK((text.text().find("robinrail_link_messages_withheld_total 2") != std::string::npos) == !later);
}

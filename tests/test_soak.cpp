// SPDX-License-Identifier: MIT
// Soak: what the fault soak judges by, and the stand-ins' packets and documents.
#include "document_codec.h"
#include "fault_proxy.h"
#include "network_claim.h"
#include "packet_codec.h"
#include "replica_watch.h"
#include "soak_types.h"
#include "standin_wire.h"
#include "target_fleet.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace Robinrail;
using namespace Robinrail::Soak;

namespace {

const TimePoint Start(std::chrono::hours(1));
constexpr std::uint32_t Node = 7;

RoutingTable changingTable()
{
    RoutingTable table;
    table.version = 12;
    table.idleTimeout = seconds(15);
    table.services = Services;
    table.routes = {{FirstRoute, {{0, 9}, {1, 1}}}, {SecondRoute, {{1, 1}}}};
    return table;
}

} // namespace

TEST_CASE("a node is out of trouble only a contact time after all its troubles")
{
    Trouble trouble;
    CHECK_FALSE(trouble.near(Start, Node));
    trouble.begin(Start, Node);
    trouble.begin(Start + seconds(1), Node);
    trouble.settle(Start + seconds(2), Node);
    CHECK(trouble.near(Start + seconds(60), Node));
    trouble.settle(Start + seconds(60), Node);
    CHECK(trouble.near(Start + seconds(60) + ContactTime - milliseconds(1), Node));
    CHECK_FALSE(trouble.near(Start + seconds(60) + ContactTime, Node));
}

TEST_CASE("control is calm as long as a quorum of replicas is out of trouble")
{
    const Plan plan;
    Trouble trouble;
    trouble.begin(Start, plan.replica(0));
    CHECK(trouble.controlCalm(Start, plan));
    trouble.begin(Start, plan.replica(2));
    CHECK_FALSE(trouble.controlCalm(Start, plan));
}

TEST_CASE("a broken promise is counted and never forgotten")
{
    Promises promises;
    CHECK(promises.count() == 0);
    promises.broken("a promise of a test", "on purpose");
    CHECK(promises.count() == 1);
}

TEST_CASE("what a stand-in caller writes is what a balancer reads")
{
    const Bytes data = {1, 2, 3};
    const Platform::WirePacket sent{{0x7f5a0401, 2000}, FirstRoute, FlowToken{9}, 100, 200, false, true, true, false, data};
    const Bytes bytes = Platform::encodePacket(sent);
    const std::optional<FlowPacket> read = Platform::PacketHeaderCodec::decode(bytes);
    REQUIRE(read);
    CHECK(read->caller == sent.from);
    CHECK(read->route == sent.to);
    CHECK(read->token == sent.token);
    CHECK(read->sequence == sent.sequence);
    CHECK(read->acknowledged == sent.acknowledged);
    CHECK(read->dataBytes == data.size());
    CHECK(read->closing);
    CHECK_FALSE(read->opening);
    const std::optional<Platform::WirePacket> back = Platform::decodePacket(bytes);
    REQUIRE(back);
    CHECK(std::equal(back->data.begin(), back->data.end(), data.begin(), data.end()));
    CHECK_FALSE(Platform::decodePacket(BytesView(bytes).first(bytes.size() - 1)));
}

TEST_CASE("what stand-in operators and targets write is what a replica reads")
{
    std::string reason;
    const RoutingTable table = changingTable();
    const std::optional<RoutingDocument> document = Platform::parseRoutingDocument(Platform::serializeRoutingDocument(table), reason);
    REQUIRE_MESSAGE(document, reason);
    CHECK(document->table == table);
    SteeringSettings settings;
    settings.dataCentres = DataCentres;
    TargetRecord record;
    record.key = TargetKey{0x1234};
    record.service = Services[1];
    record.address = {0x7f5a0301, Plan::TargetPort};
    record.dataCentre = DataCentreId{2};
    record.slots = 3;
    record.phase = TargetPhase::Draining;
    record.sequence = 5;
    const std::string path = Platform::targetPath(record.key);
    CHECK(Platform::parseTargetId(path.substr(path.rfind('/') + 1)) == record.key);
    const auto read = Platform::parseAnnouncement(record.key, Platform::serializeAnnouncement(record, DataCentres[1]), settings, reason);
    REQUIRE_MESSAGE(read, reason);
    CHECK_FALSE(read->differs(record));
    CHECK(read->dataCentre == record.dataCentre);
}

TEST_CASE("requests and answers of the stand-ins are told apart by their numbers")
{
    const std::string text = writeRequest({42, true});
    const Bytes bytes(text.begin(), text.end());
    const std::optional<RequestText> request = readRequest(bytes);
    REQUIRE(request);
    CHECK(request->number == 42);
    CHECK(request->repeatable);
    CHECK_FALSE(readRequest(Bytes{'x'}));
    CHECK(writeAnswer(42, "decks", 3) == "42 decks xxx\n");
}

TEST_CASE("a proxy passes bytes on, holds them while silent, and breaks connections off")
{
    using Tcp = boost::asio::ip::tcp;
    boost::asio::io_context io;
    Tcp::acceptor server(io, {boost::asio::ip::address_v4::loopback(), 0});
    // A free port for the proxy, found by binding one and giving it back.
    const std::uint16_t port = Tcp::acceptor(io, {boost::asio::ip::address_v4::loopback(), 0}).local_endpoint().port();
    FaultProxy proxy(io, {0x7f000001, port}, {0x7f000001, server.local_endpoint().port()});
    Tcp::socket client(io);
    Tcp::socket accepted(io);
    bool isAccepted = false;
    server.async_accept(accepted, [&](const boost::system::error_code &error) {
        isAccepted = !error;
    });
    client.connect({boost::asio::ip::address_v4::loopback(), port});
    while (!isAccepted) {
        io.run_one();
    }
    std::array<char, 8> buffer{};
    std::size_t received = 0;
    bool broken = false;
    std::function<void()> receive = [&] {
        accepted.async_read_some(boost::asio::buffer(buffer), [&](const boost::system::error_code &error, std::size_t size) {
            received += size;
            broken = broken || error;
            if (!error) {
                receive();
            }
        });
    };
    receive();
    boost::asio::write(client, boost::asio::buffer("ab", 2));
    while (received < 2) {
        io.run_one();
    }
    proxy.setFault(LinkFault::Silent, milliseconds{0});
    boost::asio::write(client, boost::asio::buffer("cd", 2));
    io.run_for(milliseconds(60));
    CHECK(received == 2);
    proxy.setFault(LinkFault::None, milliseconds{0});
    while (received < 4) {
        io.run_one();
    }
    proxy.resetAll();
    while (!broken) {
        io.run_one();
    }
    CHECK(broken);
}

TEST_CASE("runs side by side take different loopback networks, wherever they begin to look")
{
    constexpr std::uint8_t First = 12; // Below those that runs of the soak take.
    constexpr std::uint8_t Last = 13;
    boost::asio::io_context io;
    const NetworkClaim one(io, First, Last, Last);
    CHECK(one.network() == Last);
    {
        const NetworkClaim other(io, First, Last, Last);
        CHECK(other.network() == First);
        CHECK(NetworkClaim(io, First, Last, First).network() == 0);
    }
    CHECK(NetworkClaim(io, First, Last, Last).network() == First);
}

TEST_CASE("a version is due at each replica an apply time after its acknowledgement, and is read from metrics")
{
    AcknowledgedVersions versions;
    versions.note(Start, 3);
    versions.note(Start + milliseconds(10), 3);
    versions.note(Start + seconds(1), 5);
    CHECK(versions.due(Start + ApplyTime - milliseconds(1)) == 0);
    CHECK(versions.due(Start + ApplyTime) == 3);
    CHECK(versions.due(Start + ApplyTime + seconds(1)) == 5);
    CHECK(routingVersionOf("# TYPE robinrail_routing_version gauge\nrobinrail_routing_version 12\nrobinrail_x 3\n") == 12);
    CHECK_FALSE(routingVersionOf("robinrail_x 3\n"));
}

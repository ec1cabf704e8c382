// SPDX-License-Identifier: MIT
// Soak: fault tracking and version checks of the fault soak, and packets and documents of the simulated parties.
#include "document_codec.h"
#include "fault_proxy.h"
#include "loopback_network_lock.h"
#include "packet_codec.h"
#include "replica_version_checker.h"
#include "soak_types.h"
#include "standin_wire.h"
#include "target_simulator.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace Robinrail;
using namespace Robinrail::Soak;

namespace {

const TimePoint Start(std::chrono::hours(1));
constexpr std::uint32_t Node = 7;

RoutingTable twoServiceTable()
{
    RoutingTable table;
    table.version = 12;
    table.idleTimeout = seconds(15);
    table.services = Services;
    table.routes = {{FirstRoute, {{0, 9}, {1, 1}}}, {SecondRoute, {{1, 1}}}};
    return table;
}

} // namespace

TEST_CASE("a node counts as faulty until the grace period after its last fault")
{
    FaultTracker faults;
    CHECK_FALSE(faults.recentlyFaulty(Start, Node));
    faults.begin(Start, Node);
    faults.begin(Start + seconds(1), Node);
    faults.end(Start + seconds(2), Node);
    CHECK(faults.recentlyFaulty(Start + seconds(60), Node));
    faults.end(Start + seconds(60), Node);
    CHECK(faults.recentlyFaulty(Start + seconds(60) + FaultGracePeriod - milliseconds(1), Node));
    CHECK_FALSE(faults.recentlyFaulty(Start + seconds(60) + FaultGracePeriod, Node));
}

TEST_CASE("the replica quorum is healthy as long as a majority of replicas has no recent fault")
{
    const Topology topology;
    FaultTracker faults;
    faults.begin(Start, topology.replica(0));
    CHECK(faults.replicaQuorumHealthy(Start, topology));
    faults.begin(Start, topology.replica(2));
    CHECK_FALSE(faults.replicaQuorumHealthy(Start, topology));
}

TEST_CASE("violations of invariants are counted")
{
    Violations violations;
    CHECK(violations.count() == 0);
    violations.report("an invariant", "reported by a test");
    CHECK(violations.count() == 1);
}

TEST_CASE("a balancer reads the packets that a simulated caller writes")
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

TEST_CASE("a replica reads the documents and announcements that simulated operators and targets write")
{
    std::string reason;
    RoutingTable table = twoServiceTable();
    REQUIRE(table.routes.size() >= 2);
    table.objectives = {{}, {2, std::chrono::milliseconds(400), std::chrono::seconds(4)}}; // Only the second route has one.
    const std::optional<RoutingDocument> document = Platform::parseRoutingDocument(Platform::serializeRoutingDocument(table), reason);
    REQUIRE_MESSAGE(document, reason);
    CHECK(document->table == table);
    SteeringSettings settings;
    settings.dataCentres = DataCentres;
    TargetRecord record;
    record.key = TargetKey{0x1234};
    record.service = Services[1];
    record.address = {0x7f5a0301, Topology::TargetPort};
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

TEST_CASE("requests and answers of simulated callers and targets carry the number of the request")
{
    const std::string text = formatRequest({42, true});
    const Bytes bytes(text.begin(), text.end());
    const std::optional<TargetRequest> request = parseRequest(bytes);
    REQUIRE(request);
    CHECK(request->number == 42);
    CHECK(request->repeatable);
    CHECK_FALSE(parseRequest(Bytes{'x'}));
    CHECK(formatAnswer(42, "decks", 3) == "42 decks xxx\n");
}

TEST_CASE("a fault proxy forwards bytes, holds them back while stalled, and resets connections")
{
    using Tcp = boost::asio::ip::tcp;
    boost::asio::io_context io;
    Tcp::acceptor server(io, {boost::asio::ip::address_v4::loopback(), 0});
    // A free port for the proxy, found by binding an ephemeral one and closing it.
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
    bool disconnected = false;
    std::function<void()> receive = [&] {
        accepted.async_read_some(boost::asio::buffer(buffer), [&](const boost::system::error_code &error, std::size_t size) {
            received += size;
            disconnected = disconnected || error;
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
    proxy.setFault(LinkFault::Stalled, milliseconds{0});
    boost::asio::write(client, boost::asio::buffer("cd", 2));
    io.run_for(milliseconds(60));
    CHECK(received == 2);
    proxy.setFault(LinkFault::None, milliseconds{0});
    while (received < 4) {
        io.run_one();
    }
    proxy.resetConnections();
    while (!disconnected) {
        io.run_one();
    }
    CHECK(disconnected);
}

TEST_CASE("concurrent runs lock different loopback networks, whichever they try first")
{
    constexpr std::uint8_t First = 12; // Below the networks of soak runs.
    constexpr std::uint8_t Last = 13;
    boost::asio::io_context io;
    const LoopbackNetworkLock one(io, First, Last, Last);
    CHECK(one.network() == Last);
    {
        const LoopbackNetworkLock other(io, First, Last, Last);
        CHECK(other.network() == First);
        CHECK(LoopbackNetworkLock(io, First, Last, First).network() == 0);
    }
    CHECK(LoopbackNetworkLock(io, First, Last, Last).network() == First);
}

TEST_CASE("a version is required of each replica from the apply deadline after its acknowledgement, and is read from metrics")
{
    AcknowledgedVersions versions;
    versions.record(Start, 3);
    versions.record(Start + milliseconds(10), 3);
    versions.record(Start + seconds(1), 5);
    CHECK(versions.requiredVersion(Start + ApplyDeadline - milliseconds(1)) == 0);
    CHECK(versions.requiredVersion(Start + ApplyDeadline) == 3);
    CHECK(versions.requiredVersion(Start + ApplyDeadline + seconds(1)) == 5);
    CHECK(parseRoutingVersion("# TYPE robinrail_routing_version gauge\nrobinrail_routing_version 12\nrobinrail_x 3\n") == 12);
    CHECK_FALSE(parseRoutingVersion("robinrail_x 3\n"));
}

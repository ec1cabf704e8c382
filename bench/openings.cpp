// SPDX-License-Identifier: MIT
// Cost of steering: steers the packets of flows of one service, for callgrind to count the instructions. Deterministic.
// Usage: robinrail-openings TARGETS FLOWS [SUSPICIONS [busy]]; busy: requests stay unanswered, so that all slots are full. Run by scripts/bench-openings.sh.
#include "flow_steering.h"

#include <cstdlib>
#include <iostream>

using namespace Robinrail;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr DataCentreId OwnDataCentre{1};
constexpr std::uint64_t DataCentres = 3;
constexpr ReplicaId Replica{11};
constexpr Endpoint RouteAddress{0xc6120001, 443};
constexpr Duration BusyFlowInterval = milliseconds(1);
constexpr Duration FlowInterval = milliseconds(20); // A balancer of the platform opens 10 to 60 flows a second.

RoutingTable makeTable()
{
    RoutingTable table;
    table.version = 1;
    table.services = {"quotes"};
    table.routes = {{RouteAddress, {{0, 1}}}};
    table.objectives = {{1, milliseconds(500), seconds(4)}};
    return table;
}

void addTargets(TimePoint now, FlowSteering &steering, std::uint64_t count)
{
    for (std::uint64_t i = 0; i < count; ++i) {
        TargetRecord record;
        record.key = TargetKey{1'000 + i};
        record.service = "quotes";
        record.address = {static_cast<std::uint32_t>(record.key), 8080};
        record.dataCentre = DataCentreId{static_cast<std::uint8_t>(1 + i % DataCentres)};
        record.slots = 2;
        record.sequence = 1;
        steering.targets().take(now, Replica, {record, false, Duration{0}, Duration{0}});
    }
    steering.targets().setSource(Replica);
}

// One request on a flow of its own: the opening packet, the request, the acknowledgement of the answer with the end.
void runFlow(TimePoint now, FlowSteering &steering, std::uint32_t number, bool answered)
{
    FlowPacket packet;
    packet.caller = {0x64400000 + number, 40000};
    packet.route = RouteAddress;
    packet.opening = true;
    const SteeringDecision decision = steering.steer(now, packet);
    packet.opening = false;
    packet.token = decision.token;
    packet.sequence = 1;
    packet.acknowledged = 1;
    packet.dataBytes = 100;
    steering.steer(now + milliseconds(1), packet);
    if (!answered) {
        return;
    }
    packet.sequence = 101;
    packet.acknowledged = 500;
    packet.dataBytes = 0;
    packet.closing = true;
    steering.steer(now + milliseconds(15), packet);
}

} // namespace

int main(int argc, char **argv)
{
    if (argc < 3) {
        std::cerr << "usage: robinrail-openings TARGETS FLOWS [SUSPICIONS [busy]]\n";
        return 2;
    }
    const std::uint64_t targets = std::strtoull(argv[1], nullptr, 10);
    const std::uint64_t flows = std::strtoull(argv[2], nullptr, 10);
    const std::uint64_t suspicions = argc > 3 ? std::strtoull(argv[3], nullptr, 10) : 0;
    const bool busy = argc > 4;
    TimePoint now(std::chrono::hours(1));
    FlowSteering steering(OwnDataCentre);
    steering.apply(makeTable());
    steering.setInformed();
    addTargets(now, steering, targets);
    for (std::uint64_t i = 0; i < flows; ++i) {
        if (i * suspicions / flows != (i + 1) * suspicions / flows) {
            steering.targets().markSuspect(now, *steering.targets().find(SteeringTargets::tokenOf(TargetKey{1'000 + i % targets})));
        }
        runFlow(now, steering, static_cast<std::uint32_t>(i), !busy);
        now += busy ? BusyFlowInterval : FlowInterval;
        steering.tick(now);
    }
    std::cout << steering.count(SteeringReason::NewFlow) << " flows opened\n";
    return 0;
}

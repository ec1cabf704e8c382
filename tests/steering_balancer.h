// SPDX-License-Identifier: MIT
// Steering balancer: test fixture with a balancer's flow steering, a few targets, and packets for it.
#pragma once

#include "flow_steering.h"

namespace Robinrail {

inline constexpr DataCentreId LocalDataCentre{1};
inline constexpr DataCentreId RemoteDataCentre{2};
inline constexpr ReplicaId FirstReplica{11};
inline constexpr ReplicaId SecondReplica{12};
inline constexpr Endpoint QuoteRoute{0xc6120001, 443};
inline constexpr Endpoint DeckRoute{0xc6120002, 443};
inline const TimePoint Start(std::chrono::hours(1));

inline TargetRecord targetOf(std::uint64_t key, const std::string &service, DataCentreId dataCentre = LocalDataCentre)
{
    TargetRecord record;
    record.key = TargetKey{key};
    record.service = service;
    record.address = {static_cast<std::uint32_t>(key), 8080};
    record.dataCentre = dataCentre;
    record.slots = 2;
    record.sequence = 1;
    return record;
}

inline RoutingTable tableOf(std::uint64_t version, bool withDecks = true)
{
    RoutingTable table;
    table.version = version;
    table.services = {"quotes", "decks"};
    table.routes = {{QuoteRoute, {{0, 1}}}};
    if (withDecks) {
        table.routes.push_back({DeckRoute, {{1, 1}}});
    }
    return table;
}

// A balancer with two local and one remote target for quotes, and one local target for decks.
struct SteeringBalancer {
    FlowSteering steering{LocalDataCentre};
    TimePoint now = Start;

    SteeringBalancer()
    {
        steering.apply(tableOf(1));
        steering.setInformed();
        take(targetOf(101, "quotes"));
        take(targetOf(102, "quotes"));
        take(targetOf(103, "quotes", RemoteDataCentre));
        take(targetOf(201, "decks"));
    }

    void take(const TargetRecord &record, bool silent = false, ReplicaId replica = FirstReplica)
    {
        steering.targets().take(now, replica, {record, silent, Duration{0}, Duration{0}});
    }

    static FlowPacket packet(std::uint32_t caller, Endpoint route = QuoteRoute)
    {
        FlowPacket made;
        made.caller = {0x64400000 + caller, 40000};
        made.route = route;
        return made;
    }

    SteeringDecision open(std::uint32_t caller, std::uint8_t copy = 0, Endpoint route = QuoteRoute)
    {
        FlowPacket opening = packet(caller, route);
        opening.opening = true;
        opening.copy = copy;
        return steering.steer(now, opening);
    }

    // Steers a further packet of a flow, which carries data unless `bytes` is 0.
    SteeringDecision sendPacket(std::uint32_t caller, FlowToken token, std::uint32_t sequence, std::uint32_t acknowledged, std::uint16_t bytes = 100)
    {
        FlowPacket later = packet(caller);
        later.token = token;
        later.sequence = sequence;
        later.acknowledged = acknowledged;
        later.dataBytes = bytes;
        return steering.steer(now, later);
    }
};

} // namespace Robinrail

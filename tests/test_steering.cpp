// SPDX-License-Identifier: MIT
// Steering: where packets go, and what is held against targets.
#include "flow_steering.h"
#include "held_packets.h"
#include "standstill_watch.h"
#include "target_directory.h"

#include <doctest/doctest.h>

#include <array>

using namespace Robinrail;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr DataCentreId Here{1};
constexpr DataCentreId There{2};
constexpr ReplicaId FirstReplica{11};
constexpr ReplicaId SecondReplica{12};
constexpr Endpoint QuoteRoute{0xc6120001, 443};
constexpr Endpoint DeckRoute{0xc6120002, 443};
const TimePoint Start(std::chrono::hours(1));

TargetRecord targetOf(std::uint64_t key, const std::string &service, DataCentreId dataCentre = Here)
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

RoutingTable tableOf(std::uint64_t version, bool withDecks = true)
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

// A balancer with two local targets for quotes, one elsewhere, and one for decks.
struct Balancer {
    FlowSteering steering{Here};
    TimePoint now = Start;

    Balancer()
    {
        steering.apply(tableOf(1));
        steering.setInformed();
        take(targetOf(101, "quotes"));
        take(targetOf(102, "quotes"));
        take(targetOf(103, "quotes", There));
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

    // A later packet of a flow, with data unless it has none.
    SteeringDecision follow(std::uint32_t caller, FlowToken token, std::uint32_t sequence, std::uint32_t acknowledged, std::uint16_t bytes = 100)
    {
        FlowPacket later = packet(caller);
        later.token = token;
        later.sequence = sequence;
        later.acknowledged = acknowledged;
        later.dataBytes = bytes;
        return steering.steer(now, later);
    }
};

} // namespace

TEST_CASE("an opening packet goes to a local target, and its repetition to the same one")
{
    Balancer balancer;
    const SteeringDecision first = balancer.open(1);
    REQUIRE(first.action == SteeringAction::Forward);
    CHECK(first.target != TargetKey{103});
    CHECK(first.token == SteeringTargets::tokenOf(first.target));
    const SteeringDecision again = balancer.open(1);
    CHECK(again.target == first.target);
    CHECK(again.reason == SteeringReason::RepeatedOpening);
}

TEST_CASE("two balancers with the same view choose the same target")
{
    Balancer one;
    Balancer other;
    for (std::uint32_t caller = 1; caller < 20; ++caller) {
        CHECK(one.open(caller).target == other.open(caller).target);
    }
}

TEST_CASE("new flows go to the target with less under way")
{
    Balancer balancer;
    const SteeringDecision first = balancer.open(1);
    balancer.follow(1, first.token, 10, 1);
    for (std::uint32_t caller = 2; caller < 8; ++caller) {
        const SteeringDecision next = balancer.open(caller);
        CHECK(next.target != first.target);
    }
}

TEST_CASE("a later copy goes to another target, and the silent one is left out until it shows life")
{
    Balancer balancer;
    const SteeringDecision first = balancer.open(1);
    balancer.now += milliseconds(200);
    const SteeringDecision second = balancer.open(1, 1);
    CHECK(second.reason == SteeringReason::OtherTarget);
    CHECK(second.target != first.target);
    for (std::uint32_t caller = 2; caller < 10; ++caller) {
        CHECK(balancer.open(caller).target != first.target);
    }
    balancer.follow(50, first.token, 1, 1, 0);
    bool chosen = false;
    for (std::uint32_t caller = 60; caller < 70; ++caller) {
        chosen = chosen || balancer.open(caller).target == first.target;
    }
    CHECK(chosen);
}

TEST_CASE("a later copy right behind the first says nothing about the target")
{
    Balancer balancer;
    const SteeringDecision first = balancer.open(1, 0);
    balancer.now += milliseconds(5);
    const SteeringDecision behind = balancer.open(1, 1);
    CHECK(behind.reason == SteeringReason::RepeatedOpening);
    CHECK(behind.target == first.target);
    CHECK(balancer.steering.suspicions() == 0);
    // The next copy comes when it should.
    balancer.now += milliseconds(400);
    CHECK(balancer.open(1, 2).reason == SteeringReason::OtherTarget);
}

TEST_CASE("an opening packet that waited until its next copy is dropped, other packets are not")
{
    Balancer balancer;
    FlowPacket opening = Balancer::packet(1);
    opening.opening = true;
    opening.waited = milliseconds(200);
    const SteeringDecision dropped = balancer.steering.steer(balancer.now, opening);
    CHECK(dropped.action == SteeringAction::Drop);
    CHECK(dropped.reason == SteeringReason::LateOpening);
    // The pause after the first copy is longer.
    opening.copy = 1;
    CHECK(balancer.steering.steer(balancer.now, opening).action == SteeringAction::Forward);
    opening.waited = milliseconds(400);
    CHECK(balancer.steering.steer(balancer.now, opening).reason == SteeringReason::LateOpening);
    FlowPacket later = Balancer::packet(1);
    later.token = SteeringTargets::tokenOf(TargetKey{101});
    later.waited = seconds(3);
    CHECK(balancer.steering.steer(balancer.now, later).target == TargetKey{101});
}

TEST_CASE("a standstill tells how long what waited is old, until the queue is empty")
{
    StandstillWatch watch(Start);
    watch.turn(Start + milliseconds(50));
    CHECK(watch.waited() == Duration{0});
    watch.turn(Start + milliseconds(350));
    CHECK(watch.waited() == milliseconds(300));
    watch.turn(Start + milliseconds(360));
    CHECK(watch.waited() == milliseconds(300));
    watch.queueEmptied();
    CHECK(watch.waited() == Duration{0});
}

TEST_CASE("an opening packet is held no longer than until its next copy")
{
    FlowPacket packet = Balancer::packet(1);
    CHECK(holdTime(packet) == LongestHold);
    packet.opening = true;
    CHECK(holdTime(packet) < milliseconds(200));
    packet.copy = 1;
    CHECK(holdTime(packet) < milliseconds(400));
    packet.copy = 2;
    CHECK(holdTime(packet) == LongestHold);
}

TEST_CASE("a balancer measures how long flows take to open and requests to be answered")
{
    Balancer balancer;
    const SteeringDecision opened = balancer.open(1);
    balancer.now += milliseconds(10);
    balancer.follow(1, opened.token, 100, 500);
    CHECK(balancer.steering.openTimes().count() == 1);
    CHECK(balancer.steering.answerTimes().count() == 0);
    balancer.now += milliseconds(30);
    balancer.follow(1, opened.token, 200, 900, 0);
    REQUIRE(balancer.steering.answerTimes().count() == 1);
    CHECK(balancer.steering.openTimes().quantile(1) >= milliseconds(10));
    CHECK(balancer.steering.openTimes().quantile(1) < milliseconds(12));
    CHECK(balancer.steering.answerTimes().quantile(1) >= milliseconds(30));
    CHECK(balancer.steering.answerTimes().quantile(1) < milliseconds(33));
    // A flow whose opening packet came to another balancer says nothing about its opening.
    balancer.follow(2, opened.token, 100, 500);
    CHECK(balancer.steering.openTimes().count() == 1);
}

TEST_CASE("a removed route is forgotten once its flows are")
{
    Balancer balancer;
    balancer.steering.apply(tableOf(2, false));
    FlowPacket later = Balancer::packet(1, DeckRoute);
    later.token = SteeringTargets::tokenOf(TargetKey{201});
    CHECK(balancer.steering.steer(balancer.now, later).reason == SteeringReason::RouteDropped);
    CHECK(balancer.steering.droppedRoutes() == 1);
    balancer.steering.tick(balancer.now);
    balancer.steering.tick(balancer.now + RememberLeft - seconds(1));
    CHECK(balancer.steering.droppedRoutes() == 1);
    balancer.steering.tick(balancer.now + RememberLeft + seconds(2));
    CHECK(balancer.steering.droppedRoutes() == 0);
}

TEST_CASE("a flow that two targets answered stays at the one where it opened")
{
    Balancer balancer;
    const SteeringDecision first = balancer.open(1);
    balancer.now += milliseconds(200);
    const SteeringDecision second = balancer.open(1, 1);
    REQUIRE(second.target != first.target);
    // The first target's answer was late but came first; then the other one's changes the token.
    CHECK(balancer.follow(1, first.token, 1, 1, 0).target == first.target);
    const SteeringDecision data = balancer.follow(1, second.token, 1, 1);
    CHECK(data.target == first.target);
    CHECK(data.token == first.token);
    CHECK(data.reason == SteeringReason::PinnedFlow);
}

TEST_CASE("a late copy of an opening packet does not move an open flow")
{
    Balancer balancer;
    const SteeringDecision first = balancer.open(1);
    balancer.follow(1, first.token, 1, 1, 0);
    CHECK(balancer.open(1, 1).target == first.target);
    CHECK(balancer.follow(1, first.token, 1, 1).target == first.target);
}

TEST_CASE("a balancer that never saw a flow routes it by its token")
{
    Balancer balancer;
    const SteeringDecision decision = balancer.follow(7, SteeringTargets::tokenOf(TargetKey{103}), 5, 6);
    CHECK(decision.action == SteeringAction::Forward);
    CHECK(decision.target == TargetKey{103});
    CHECK(balancer.follow(8, FlowToken{12345}, 5, 6).action == SteeringAction::Drop);
}

TEST_CASE("data that is sent again without a sign of the target makes it suspect, and resets nothing")
{
    Balancer balancer;
    const SteeringDecision first = balancer.open(1);
    balancer.follow(1, first.token, 1, 1);
    balancer.now += milliseconds(200);
    CHECK(balancer.follow(1, first.token, 1, 1).action == SteeringAction::Forward);
    CHECK(balancer.steering.suspicions() == 1);
    for (std::uint32_t caller = 2; caller < 10; ++caller) {
        CHECK(balancer.open(caller).target != first.target);
    }
}

TEST_CASE("a draining target keeps its flows and gets no new ones; one that left loses them")
{
    Balancer balancer;
    const SteeringDecision first = balancer.open(1);
    balancer.follow(1, first.token, 1, 1);
    TargetRecord record = targetOf(value(first.target), "quotes");
    record.phase = TargetPhase::Draining;
    record.sequence = 2;
    balancer.take(record);
    CHECK(balancer.follow(1, first.token, 2, 2).target == first.target);
    for (std::uint32_t caller = 2; caller < 10; ++caller) {
        CHECK(balancer.open(caller).target != first.target);
    }
    record.phase = TargetPhase::Left;
    balancer.take(record);
    CHECK(balancer.follow(1, first.token, 3, 3).action == SteeringAction::Forward);
    balancer.now += LeftGrace;
    const SteeringDecision over = balancer.follow(1, first.token, 4, 77);
    CHECK(over.action == SteeringAction::Reset);
    CHECK(over.resetSequence == 77);
    // A late announcement revives nothing.
    record.phase = TargetPhase::Serving;
    record.sequence = 9;
    balancer.take(record);
    CHECK(balancer.follow(2, first.token, 4, 77).action == SteeringAction::Reset);
}

TEST_CASE("targets that no replica vouches for come last, and a lost replica alone changes nothing")
{
    Balancer balancer;
    balancer.take(targetOf(101, "quotes"), true);
    CHECK(balancer.open(1).target == TargetKey{102});
    balancer.take(targetOf(101, "quotes"), false, SecondReplica);
    balancer.steering.targets().forgetReplica(FirstReplica, true);
    for (std::uint32_t caller = 2; caller < 6; ++caller) {
        CHECK(balancer.open(caller).target == TargetKey{101});
    }
    balancer.steering.targets().forgetReplica(SecondReplica, false);
    CHECK(balancer.open(20).action == SteeringAction::Forward);
}

TEST_CASE("a dropped route resets its flows and spares the others; an unknown one resets openings only")
{
    Balancer balancer;
    CHECK(balancer.steering.apply(tableOf(2, false)));
    CHECK_FALSE(balancer.steering.apply(tableOf(1)));
    FlowPacket decks = Balancer::packet(1, DeckRoute);
    decks.token = SteeringTargets::tokenOf(TargetKey{201});
    CHECK(balancer.steering.steer(balancer.now, decks).reason == SteeringReason::RouteDropped);
    CHECK(balancer.open(2, 0, DeckRoute).reason == SteeringReason::NoRoute);
    CHECK(balancer.open(3).action == SteeringAction::Forward);
    // Another balancer may know a newer table than this one, so an open flow is not cut.
    FlowPacket newer = Balancer::packet(4, {0xc6120009, 443});
    newer.token = SteeringTargets::tokenOf(TargetKey{201});
    CHECK(balancer.steering.steer(balancer.now, newer).action == SteeringAction::Forward);
}

TEST_CASE("a balancer that was just started holds what it does not know")
{
    FlowSteering steering(Here);
    FlowPacket opening = Balancer::packet(1);
    opening.opening = true;
    FlowPacket later = Balancer::packet(2);
    later.token = FlowToken{77};
    CHECK(steering.steer(Start, opening).action == SteeringAction::Hold);
    CHECK(steering.steer(Start, later).action == SteeringAction::Hold);
    steering.apply(tableOf(1));
    CHECK(steering.steer(Start, opening).reason == SteeringReason::NotInformed);
    steering.setInformed();
    CHECK(steering.steer(Start, opening).reason == SteeringReason::NoTarget);
    CHECK(steering.steer(Start, later).action == SteeringAction::Drop);
}

TEST_CASE("held packets come out in order, the old ones and those beyond the limit do not")
{
    HeldPackets held;
    const auto packet = [](std::size_t number) {
        return Bytes{static_cast<std::uint8_t>(number), static_cast<std::uint8_t>(number >> 8U)};
    };
    held.hold({Start + LongestHold, packet(0)});
    held.hold({Start + LongestHold + milliseconds(1), packet(1)});
    held.hold({Start + LongestHold + milliseconds(2), packet(2)});
    const std::vector<HeldPacket> young = held.release(Start + LongestHold);
    REQUIRE(young.size() == 2);
    CHECK(young[0].bytes == packet(1));
    CHECK(young[1].bytes == packet(2));
    CHECK(held.empty());
    CHECK(held.takeDropped() == 1);
    for (std::size_t i = 0; i < MostHeldPackets + 3; ++i) {
        held.hold({Start + LongestHold, packet(i)});
    }
    const std::vector<HeldPacket> released = held.release(Start);
    REQUIRE(released.size() == MostHeldPackets);
    CHECK(released.front().bytes == packet(3));
    CHECK(held.takeDropped() == 3);
}

TEST_CASE("a packet that is held again is held no longer than at first")
{
    HeldPackets held;
    held.hold({Start + milliseconds(100), Bytes{1}});
    for (int i = 0; i < 10; ++i) {
        for (HeldPacket &packet : held.release(Start + milliseconds(10 * i))) {
            held.hold(std::move(packet));
        }
    }
    CHECK_FALSE(held.empty());
    CHECK(held.release(Start + milliseconds(100)).empty());
    CHECK(held.takeDropped() == 1);
}

TEST_CASE("a reset is never answered by a reset")
{
    Balancer balancer;
    balancer.steering.apply(tableOf(2, false));
    FlowPacket reset = Balancer::packet(1, DeckRoute);
    reset.reset = true;
    CHECK(balancer.steering.steer(balancer.now, reset).action == SteeringAction::Drop);
}

TEST_CASE("flows that end or rest no longer count as load")
{
    Balancer balancer;
    const SteeringDecision first = balancer.open(1);
    balancer.follow(1, first.token, 1, 1);
    const SteeredTarget *target = balancer.steering.targets().find(first.token);
    CHECK(target->flows == 1);
    CHECK(target->busy == 1);
    balancer.follow(1, first.token, 101, 50, 0);
    CHECK(target->busy == 0);
    FlowPacket closing = Balancer::packet(1);
    closing.token = first.token;
    closing.closing = true;
    balancer.steering.steer(balancer.now, closing);
    CHECK(target->flows == 0);
    balancer.open(2);
    balancer.now += DefaultIdleTimeout + FlowSweepInterval;
    balancer.steering.tick(balancer.now);
    CHECK(balancer.steering.flowCount() == 0);
}

TEST_CASE("a drained data centre gets no new flows, and keeps those that are open")
{
    Balancer balancer;
    const SteeringDecision open = balancer.open(1);
    balancer.follow(1, open.token, 10, 1);
    const SteeringDecision opening = balancer.open(2);
    REQUIRE(opening.target != TargetKey{103});
    balancer.steering.setDrained(balancer.now, std::array{Here});
    for (std::uint32_t caller = 3; caller < 40; ++caller) {
        CHECK(balancer.open(caller).target == TargetKey{103});
    }
    CHECK(balancer.follow(1, open.token, 110, 2).target == open.target);
    // The first copy of an opening that was under way, sent again, and a later one.
    CHECK(balancer.open(2).target == TargetKey{103});
    CHECK(balancer.open(2, 1).target == TargetKey{103});
}

TEST_CASE("a late copy of an opening does not take an open flow away from a target that takes no new ones")
{
    Balancer balancer;
    const SteeringDecision first = balancer.open(1);
    balancer.follow(1, first.token, 10, 1);
    balancer.steering.setDrained(balancer.now, std::array{Here});
    CHECK(balancer.open(1, 1).action == SteeringAction::Drop);
    CHECK(balancer.follow(1, first.token, 110, 2).target == first.target);
    balancer.steering.setDrained(balancer.now, {});
    TargetRecord draining = targetOf(value(first.target), "quotes");
    draining.phase = TargetPhase::Draining;
    draining.sequence = 2;
    balancer.take(draining);
    CHECK(balancer.open(1, 1).action == SteeringAction::Drop);
    CHECK(balancer.follow(1, first.token, 210, 3).target == first.target);
}

TEST_CASE("a caller hears at once that every data centre of a service is drained")
{
    Balancer balancer;
    balancer.steering.setDrained(balancer.now, std::array{Here, There});
    const SteeringDecision decision = balancer.open(1);
    CHECK(decision.action == SteeringAction::Reset);
    CHECK(decision.reason == SteeringReason::NoTarget);
    balancer.steering.setDrained(balancer.now, std::array{There});
    CHECK(balancer.open(1).action == SteeringAction::Forward);
}

TEST_CASE("a target whose warm-up is limited gets no new flow before it is warm, from any number of balancers")
{
    // The limit is for all balancers together, and none knows how many others there are or whether they hear it.
    constexpr int Balancers = 300;
    RoutingTable table = tableOf(2);
    table.warmups = {{seconds(2), true}};
    TargetRecord cold = targetOf(104, "quotes");
    cold.warmupLeft = seconds(2);
    std::vector<Balancer> balancers(Balancers);
    for (Balancer &balancer : balancers) {
        balancer.steering.apply(table);
        balancer.take(cold);
    }
    for (TimePoint now = Start; now < Start + seconds(2); now += milliseconds(100)) {
        for (std::uint32_t caller = 0; caller < Balancers; ++caller) {
            Balancer &balancer = balancers[caller];
            balancer.now = now;
            const SteeringDecision decision = balancer.open(caller + static_cast<std::uint32_t>((now - Start) / milliseconds(100)) * Balancers);
            CHECK(decision.action == SteeringAction::Forward);
            CHECK(decision.target != TargetKey{104});
        }
    }
    std::uint64_t given = 0;
    for (Balancer &balancer : balancers) {
        balancer.now = Start + seconds(2);
        given += balancer.open(1'000'000).target == TargetKey{104} ? 1 : 0;
    }
    CHECK(given > 0);
}

TEST_CASE("without a figure a cold target is used, and one that is limited and alone is refused at once")
{
    Balancer balancer;
    TargetRecord cold = targetOf(201, "decks");
    cold.sequence = 2;
    cold.warmupLeft = seconds(2);
    balancer.take(cold);
    CHECK(balancer.open(1, 0, DeckRoute).target == TargetKey{201});
    RoutingTable table = tableOf(2);
    table.warmups = {{}, {seconds(2), true}};
    balancer.steering.apply(table);
    CHECK(balancer.open(2, 0, DeckRoute).reason == SteeringReason::NoTarget);
    balancer.now += seconds(2);
    CHECK(balancer.open(3, 0, DeckRoute).target == TargetKey{201});
}

TEST_CASE("targets of a data centre that is taken back warm up from the order on, whatever they announced")
{
    Balancer balancer;
    RoutingTable table = tableOf(2);
    table.warmups = {{seconds(3), true}};
    balancer.steering.apply(table);
    balancer.steering.setDrained(balancer.now, std::array{Here});
    balancer.steering.setDrained(balancer.now, {});
    TargetRecord record = targetOf(101, "quotes"); // Announced before it heard of the order.
    record.sequence = 2;
    balancer.take(record);
    balancer.now += seconds(3) - milliseconds(1);
    for (std::uint32_t caller = 1; caller < 20; ++caller) {
        CHECK(balancer.open(caller).target == TargetKey{103});
    }
    balancer.now += milliseconds(1);
    CHECK(balancer.open(20).target != TargetKey{103});
}

TEST_CASE("a target that starts again under its key is taken, and late news of its former lifetime is not")
{
    Balancer balancer;
    TargetRecord record = targetOf(201, "decks");
    record.born = 1'000;
    record.sequence = 40;
    balancer.take(record);
    TargetRecord again = record;
    again.born = 2'000;
    again.sequence = 1;
    again.address.port = 9090;
    balancer.take(again);
    CHECK(balancer.open(1, 0, DeckRoute).address.port == 9090);
    record.phase = TargetPhase::Left;
    record.sequence = 41;
    balancer.take(record);
    CHECK(balancer.open(2, 0, DeckRoute).address.port == 9090);
}

// Many balancers, each of which sees a small part of the load, and a target that has just started: its counts are the
// lowest at all of them. 31 balancers of a data centre with 40 targets, 500 new flows a second (the largest of our
// deployments has as many an entry VM and target), over half a second.
TEST_CASE("a target that has just started draws at most twice its share of the new flows of many balancers")
{
    constexpr std::uint32_t Balancers = 31;
    constexpr std::uint64_t Targets = 40;
    constexpr std::uint32_t NewFlows = 250;
    std::vector<Balancer> balancers(Balancers);
    for (Balancer &balancer : balancers) {
        for (std::uint64_t key = 101; key < 101 + Targets; ++key) {
            balancer.take(targetOf(key, "quotes"));
        }
        for (std::uint32_t caller = 1; caller <= 2 * Targets; ++caller) {
            const SteeringDecision open = balancer.open(caller);
            balancer.follow(caller, open.token, 10, 1);
        }
        TargetRecord started = targetOf(999, "quotes");
        started.warmupLeft = seconds(2);
        balancer.take(started);
    }
    std::uint32_t drawn = 0;
    for (std::uint32_t i = 0; i < NewFlows; ++i) {
        drawn += balancers[i % Balancers].open(1'000 + i).target == TargetKey{999} ? 1 : 0;
    }
    CHECK(drawn > 0);
    CHECK(drawn <= 3 * NewFlows / (Targets + 1)); // Twice, and as much again for the luck of the hash.
}

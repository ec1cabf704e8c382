// SPDX-License-Identifier: MIT
// Flow steering: where packets go, and when targets become suspect. Stall detection and held packets.
#include "packet_hold_queue.h"
#include "stall_detector.h"
#include "steering_balancer.h"
#include "target_directory.h"

#include <doctest/doctest.h>

using namespace Robinrail;
using std::chrono::milliseconds;
using std::chrono::seconds;

using Balancer = SteeringBalancer;

TEST_CASE("an opening packet goes to a local target, and a duplicate of it to the same one")
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

TEST_CASE("new flows go to the target with fewer requests in progress")
{
    Balancer balancer;
    const SteeringDecision first = balancer.open(1);
    balancer.sendPacket(1, first.token, 10, 1);
    for (std::uint32_t caller = 2; caller < 8; ++caller) {
        const SteeringDecision next = balancer.open(caller);
        CHECK(next.target != first.target);
    }
}

TEST_CASE("a retransmitted opening goes to another target, and the silent one gets no new flows until it shows a sign of life")
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
    balancer.sendPacket(50, first.token, 1, 1, 0);
    bool chosen = false;
    for (std::uint32_t caller = 60; caller < 70; ++caller) {
        chosen = chosen || balancer.open(caller).target == first.target;
    }
    CHECK(chosen);
}

TEST_CASE("a retransmitted opening that arrives right behind the first does not make the target suspect")
{
    Balancer balancer;
    const SteeringDecision first = balancer.open(1, 0);
    balancer.now += milliseconds(5);
    const SteeringDecision behind = balancer.open(1, 1);
    CHECK(behind.reason == SteeringReason::RepeatedOpening);
    CHECK(behind.target == first.target);
    CHECK(balancer.steering.suspicions() == 0);
    // The next copy arrives with the caller's usual delay.
    balancer.now += milliseconds(400);
    CHECK(balancer.open(1, 2).reason == SteeringReason::OtherTarget);
}

TEST_CASE("an opening packet that was queued until its retransmission is due is dropped, other packets are not")
{
    Balancer balancer;
    FlowPacket opening = Balancer::packet(1);
    opening.opening = true;
    opening.maxQueueTime = milliseconds(200);
    const SteeringDecision dropped = balancer.steering.steer(balancer.now, opening);
    CHECK(dropped.action == SteeringAction::Drop);
    CHECK(dropped.reason == SteeringReason::LateOpening);
    // The caller waits longer after the second transmission than after the first.
    opening.copy = 1;
    CHECK(balancer.steering.steer(balancer.now, opening).action == SteeringAction::Forward);
    opening.maxQueueTime = milliseconds(400);
    CHECK(balancer.steering.steer(balancer.now, opening).reason == SteeringReason::LateOpening);
    FlowPacket later = Balancer::packet(1);
    later.token = SteeringTargets::tokenOf(TargetKey{101});
    later.maxQueueTime = seconds(3);
    CHECK(balancer.steering.steer(balancer.now, later).target == TargetKey{101});
}

TEST_CASE("a stall bounds the queue time of packets until the queue is empty")
{
    StallDetector detector(Start);
    detector.tick(Start + milliseconds(50));
    CHECK(detector.maxQueueTime() == Duration{0});
    detector.tick(Start + milliseconds(350));
    CHECK(detector.maxQueueTime() == milliseconds(300));
    detector.tick(Start + milliseconds(360));
    CHECK(detector.maxQueueTime() == milliseconds(300));
    detector.queueEmptied();
    CHECK(detector.maxQueueTime() == Duration{0});
}

TEST_CASE("an opening packet is held no longer than until its retransmission")
{
    FlowPacket packet = Balancer::packet(1);
    CHECK(holdTime(packet) == MaxHoldTime);
    packet.opening = true;
    CHECK(holdTime(packet) < milliseconds(200));
    packet.copy = 1;
    CHECK(holdTime(packet) < milliseconds(400));
    packet.copy = 2;
    CHECK(holdTime(packet) == MaxHoldTime);
}

TEST_CASE("a balancer measures how long flows take to open and requests to be answered")
{
    Balancer balancer;
    const SteeringDecision opened = balancer.open(1);
    balancer.now += milliseconds(10);
    balancer.sendPacket(1, opened.token, 100, 500);
    CHECK(balancer.steering.openTimes().count() == 1);
    CHECK(balancer.steering.answerTimes().count() == 0);
    balancer.now += milliseconds(30);
    balancer.sendPacket(1, opened.token, 200, 900, 0);
    REQUIRE(balancer.steering.answerTimes().count() == 1);
    CHECK(balancer.steering.openTimes().quantile(1) >= milliseconds(10));
    CHECK(balancer.steering.openTimes().quantile(1) < milliseconds(12));
    CHECK(balancer.steering.answerTimes().quantile(1) >= milliseconds(30));
    CHECK(balancer.steering.answerTimes().quantile(1) < milliseconds(33));
    // Without its opening packet, a flow adds no opening time.
    balancer.sendPacket(2, opened.token, 100, 500);
    CHECK(balancer.steering.openTimes().count() == 1);
}

TEST_CASE("a removed route is forgotten once its flows are forgotten")
{
    Balancer balancer;
    balancer.steering.apply(tableOf(2, false));
    FlowPacket later = Balancer::packet(1, DeckRoute);
    later.token = SteeringTargets::tokenOf(TargetKey{201});
    CHECK(balancer.steering.steer(balancer.now, later).reason == SteeringReason::RouteDropped);
    CHECK(balancer.steering.droppedRoutes() == 1);
    balancer.steering.tick(balancer.now);
    balancer.steering.tick(balancer.now + LeftTargetRetention - seconds(1));
    CHECK(balancer.steering.droppedRoutes() == 1);
    balancer.steering.tick(balancer.now + LeftTargetRetention + seconds(2));
    CHECK(balancer.steering.droppedRoutes() == 0);
}

TEST_CASE("a flow that two targets answered stays at the target where it is open")
{
    Balancer balancer;
    const SteeringDecision first = balancer.open(1);
    balancer.now += milliseconds(200);
    const SteeringDecision second = balancer.open(1, 1);
    REQUIRE(second.target != first.target);
    // The first target's answer is late but arrives before the second one's, which then changes the token.
    CHECK(balancer.sendPacket(1, first.token, 1, 1, 0).target == first.target);
    const SteeringDecision data = balancer.sendPacket(1, second.token, 1, 1);
    CHECK(data.target == first.target);
    CHECK(data.token == first.token);
    CHECK(data.reason == SteeringReason::PinnedFlow);
}

TEST_CASE("a late retransmission of an opening packet does not move an open flow")
{
    Balancer balancer;
    const SteeringDecision first = balancer.open(1);
    balancer.sendPacket(1, first.token, 1, 1, 0);
    CHECK(balancer.open(1, 1).target == first.target);
    CHECK(balancer.sendPacket(1, first.token, 1, 1).target == first.target);
}

TEST_CASE("a balancer that never saw a flow routes it by its token")
{
    Balancer balancer;
    const SteeringDecision decision = balancer.sendPacket(7, SteeringTargets::tokenOf(TargetKey{103}), 5, 6);
    CHECK(decision.action == SteeringAction::Forward);
    CHECK(decision.target == TargetKey{103});
    CHECK(balancer.sendPacket(8, FlowToken{12345}, 5, 6).action == SteeringAction::Drop);
}

TEST_CASE("retransmitted data without a sign of life makes the target suspect, and resets no flow")
{
    Balancer balancer;
    const SteeringDecision first = balancer.open(1);
    balancer.sendPacket(1, first.token, 1, 1);
    balancer.now += milliseconds(200);
    CHECK(balancer.sendPacket(1, first.token, 1, 1).action == SteeringAction::Forward);
    CHECK(balancer.steering.suspicions() == 1);
    for (std::uint32_t caller = 2; caller < 10; ++caller) {
        CHECK(balancer.open(caller).target != first.target);
    }
}

TEST_CASE("a draining target keeps its flows and gets no new ones; flows of a target that left are reset")
{
    Balancer balancer;
    const SteeringDecision first = balancer.open(1);
    balancer.sendPacket(1, first.token, 1, 1);
    TargetRecord record = targetOf(value(first.target), "quotes");
    record.phase = TargetPhase::Draining;
    record.sequence = 2;
    balancer.take(record);
    CHECK(balancer.sendPacket(1, first.token, 2, 2).target == first.target);
    for (std::uint32_t caller = 2; caller < 10; ++caller) {
        CHECK(balancer.open(caller).target != first.target);
    }
    record.phase = TargetPhase::Left;
    balancer.take(record);
    CHECK(balancer.sendPacket(1, first.token, 3, 3).action == SteeringAction::Forward);
    balancer.now += LeftTargetGrace;
    const SteeringDecision over = balancer.sendPacket(1, first.token, 4, 77);
    CHECK(over.action == SteeringAction::Reset);
    CHECK(over.resetSequence == 77);
    // A late announcement does not bring a target back that left.
    record.phase = TargetPhase::Serving;
    record.sequence = 9;
    balancer.take(record);
    CHECK(balancer.sendPacket(2, first.token, 4, 77).action == SteeringAction::Reset);
}

TEST_CASE("targets that no replica reports as alive are chosen last, and losing the only replica changes nothing")
{
    Balancer balancer;
    balancer.take(targetOf(101, "quotes"), true);
    CHECK(balancer.open(1).target == TargetKey{102});
    balancer.take(targetOf(101, "quotes"), false, SecondReplica);
    balancer.steering.targets().dropReplicaReports(FirstReplica, true);
    for (std::uint32_t caller = 2; caller < 6; ++caller) {
        CHECK(balancer.open(caller).target == TargetKey{101});
    }
    balancer.steering.targets().dropReplicaReports(SecondReplica, false);
    CHECK(balancer.open(20).action == SteeringAction::Forward);
}

TEST_CASE("a removed route resets its own flows only; an unknown route resets opening packets only")
{
    Balancer balancer;
    CHECK(balancer.steering.apply(tableOf(2, false)));
    CHECK_FALSE(balancer.steering.apply(tableOf(1)));
    FlowPacket decks = Balancer::packet(1, DeckRoute);
    decks.token = SteeringTargets::tokenOf(TargetKey{201});
    CHECK(balancer.steering.steer(balancer.now, decks).reason == SteeringReason::RouteDropped);
    CHECK(balancer.open(2, 0, DeckRoute).reason == SteeringReason::NoRoute);
    CHECK(balancer.open(3).action == SteeringAction::Forward);
    // Another balancer may have opened the flow by a newer table, so an open flow on an unknown route is forwarded.
    FlowPacket newer = Balancer::packet(4, {0xc6120009, 443});
    newer.token = SteeringTargets::tokenOf(TargetKey{201});
    CHECK(balancer.steering.steer(balancer.now, newer).action == SteeringAction::Forward);
}

TEST_CASE("a balancer that has just started holds packets of unknown routes and targets")
{
    FlowSteering steering(LocalDataCentre);
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

TEST_CASE("held packets are released in order, except expired ones and those beyond the capacity")
{
    PacketHoldQueue held;
    const auto packet = [](std::size_t number) {
        return Bytes{static_cast<std::uint8_t>(number), static_cast<std::uint8_t>(number >> 8U)};
    };
    held.hold({Start + MaxHoldTime, packet(0)});
    held.hold({Start + MaxHoldTime + milliseconds(1), packet(1)});
    held.hold({Start + MaxHoldTime + milliseconds(2), packet(2)});
    const std::vector<HeldPacket> young = held.release(Start + MaxHoldTime);
    REQUIRE(young.size() == 2);
    CHECK(young[0].bytes == packet(1));
    CHECK(young[1].bytes == packet(2));
    CHECK(held.empty());
    CHECK(held.takeDropped() == 1);
    for (std::size_t i = 0; i < MaxHeldPackets + 3; ++i) {
        held.hold({Start + MaxHoldTime, packet(i)});
    }
    const std::vector<HeldPacket> released = held.release(Start);
    REQUIRE(released.size() == MaxHeldPackets);
    CHECK(released.front().bytes == packet(3));
    CHECK(held.takeDropped() == 3);
}

TEST_CASE("a packet that is held again keeps its expiry")
{
    PacketHoldQueue held;
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

TEST_CASE("a reset is never answered with a reset")
{
    Balancer balancer;
    balancer.steering.apply(tableOf(2, false));
    FlowPacket reset = Balancer::packet(1, DeckRoute);
    reset.reset = true;
    CHECK(balancer.steering.steer(balancer.now, reset).action == SteeringAction::Drop);
}

TEST_CASE("flows that are closed or idle do not count as load")
{
    Balancer balancer;
    const SteeringDecision first = balancer.open(1);
    balancer.sendPacket(1, first.token, 1, 1);
    const SteeredTarget *target = balancer.steering.targets().find(first.token);
    CHECK(target->flows == 1);
    CHECK(target->busy == 1);
    balancer.sendPacket(1, first.token, 101, 50, 0);
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

// SPDX-License-Identifier: MIT
// Held and late packets: what a balancer holds while it lacks information, and what it drops after a stall.
#include "packet_hold_queue.h"
#include "stall_detector.h"
#include "steering_balancer.h"

#include <doctest/doctest.h>

#include <utility>
#include <vector>

using namespace Robinrail;
using std::chrono::milliseconds;
using std::chrono::seconds;

using Balancer = SteeringBalancer;

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

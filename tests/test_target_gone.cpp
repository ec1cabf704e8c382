// SPDX-License-Identifier: MIT
// Gone targets: flows of targets that lose power are reset before their callers' next requests, and flows of live targets
// never are.
#include "flow_steering.h"
#include "probe_fixture.h"

#include <doctest/doctest.h>
#include <pcg_random.hpp>

#include <array>
#include <utility>
#include <vector>

using namespace Robinrail;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Endpoint FeedRoute{0xc6120001, 443};
const TimePoint Start(std::chrono::hours(1));

TargetRecord feedTarget(TargetKey key)
{
    TargetRecord record;
    record.key = key;
    record.service = "feed";
    record.address = {static_cast<std::uint32_t>(value(key)), 8080};
    record.dataCentre = Here;
    record.slots = 2;
    record.sequence = 1;
    return record;
}

// A balancer with two targets and callers with long-lived flows to them.
struct Balancer {
    FlowSteering steering{Here};
    TimePoint now = Start;

    Balancer()
    {
        RoutingTable table;
        table.version = 1;
        table.services = {"feed"};
        table.routes = {{FeedRoute, {{0, 1}}}};
        steering.apply(table);
        steering.setInformed();
        for (const TargetKey key : {Silent, Living}) {
            steering.targets().take(now, FirstReplica, {feedTarget(key), false, Duration{0}, Duration{0}});
        }
    }

    static FlowPacket packet(std::uint32_t caller, TargetKey target, std::uint32_t sequence, std::uint32_t acknowledged)
    {
        FlowPacket made;
        made.caller = {0x64400000 + caller, 40000};
        made.route = FeedRoute;
        made.token = SteeringTargets::tokenOf(target);
        made.sequence = sequence;
        made.acknowledged = acknowledged;
        made.dataBytes = 100;
        return made;
    }

    SteeringDecision request(std::uint32_t caller, TargetKey target, std::uint32_t sequence, std::uint32_t acknowledged)
    {
        return steering.steer(now, packet(caller, target, sequence, acknowledged));
    }

    void acknowledge(std::uint32_t caller, TargetKey target, std::uint32_t acknowledged)
    {
        FlowPacket answer = packet(caller, target, 100, acknowledged);
        answer.dataBytes = 0;
        steering.steer(now, answer);
    }
};

// Declares a target with 10 flows more than one tick resets gone, and resets those of the first tick.
void resetFirstFlows(Balancer &balancer)
{
    for (std::uint32_t caller = 1; caller <= MaxResetsPerTick + 10; ++caller) {
        balancer.request(caller, Silent, 100, 1);
    }
    balancer.now += seconds(1);
    REQUIRE(balancer.steering.targets().declareGone(balancer.now, {Silent}));
    CHECK(balancer.steering.takeResets().size() == MaxResetsPerTick);
}

} // namespace

TEST_CASE("idle flows of a target that lost power are reset once, and flows of other targets are not")
{
    Balancer balancer;
    for (std::uint32_t caller = 1; caller <= 20; ++caller) {
        balancer.request(caller, caller % 2 == 0 ? Silent : Living, 100, 1);
        balancer.acknowledge(caller, caller % 2 == 0 ? Silent : Living, 50);
    }
    balancer.now += seconds(1);
    REQUIRE(balancer.steering.targets().declareGone(balancer.now, {Silent}));
    const std::vector<FlowReset> resets = balancer.steering.takeResets();
    CHECK(resets.size() == 10);
    for (const FlowReset &each : resets) {
        CHECK(each.flow.caller.address % 2 == 0);
        CHECK(each.sequence == 50);
    }
    CHECK(balancer.steering.takeResets().empty());
    CHECK(balancer.steering.flowCount() == 10);
}

TEST_CASE("many flows are reset over several ticks, each once")
{
    Balancer balancer;
    resetFirstFlows(balancer);
    CHECK(balancer.steering.takeResets().size() == 10);
    CHECK(balancer.steering.takeResets().empty());
}

TEST_CASE("a target that shows a sign of life while its flows are being reset keeps the remaining ones")
{
    Balancer balancer;
    resetFirstFlows(balancer);
    balancer.acknowledge(MaxResetsPerTick + 11, Silent, 50);
    CHECK(balancer.steering.takeResets().empty());
}

TEST_CASE("a target with a recent sign of life through this balancer is not taken for gone")
{
    Balancer balancer;
    balancer.request(1, Silent, 100, 1);
    balancer.now += seconds(1);
    balancer.acknowledge(1, Silent, 50);
    balancer.now += RecentActivityWindow - milliseconds(1);
    CHECK_FALSE(balancer.steering.targets().declareGone(balancer.now, {Silent}));
    CHECK(balancer.steering.takeResets().empty());
    balancer.now += milliseconds(1);
    CHECK(balancer.steering.targets().declareGone(balancer.now, {Silent}));
    CHECK_FALSE(balancer.steering.targets().declareGone(balancer.now, {TargetKey{999}}));
}

TEST_CASE("retransmitted data on an open flow is reported each time, unless there was a sign of life since")
{
    Balancer balancer;
    balancer.request(1, Silent, 100, 1);
    CHECK(balancer.steering.takeUnanswered().empty());
    balancer.now += milliseconds(200);
    balancer.request(1, Silent, 100, 1);
    CHECK(balancer.steering.takeUnanswered() == std::vector<TargetKey>{Silent});
    // An acknowledgement on a newer flow is a sign of life, which the older unanswered request does not contradict.
    balancer.acknowledge(2, Silent, 50);
    balancer.now += milliseconds(400);
    balancer.request(1, Silent, 100, 1);
    CHECK(balancer.steering.takeUnanswered().empty());
    for (std::size_t i = 0; i < 2 * MaxReportsPerTick; ++i) {
        balancer.request(2, Silent, 100, 1);
    }
    CHECK(balancer.steering.takeUnanswered().size() == MaxReportsPerTick);
}

// Guards against the reset of flows that opened after a restart: probes failed while the target restarted under its key, and their
// results arrived a second later (soak seed 3121).
TEST_CASE("the result of a probe counts for the lifetime that was probed only")
{
    Balancer balancer;
    TargetRecord restarted = feedTarget(Silent);
    const std::uint64_t former = restarted.born;
    restarted.born += 1000;
    balancer.steering.targets().take(balancer.now, FirstReplica, {restarted, false, Duration{0}, Duration{0}});
    balancer.now += RecentActivityWindow;
    CHECK_FALSE(balancer.steering.targets().declareGone(balancer.now, {Silent, former}));
    ProbeResults results(OneReplica);
    CHECK_FALSE(results.unreachable(balancer.now, FirstProber, {Silent, former}));
    CHECK_FALSE(results.unreachable(balancer.now, SecondProber, {Silent, restarted.born}));
    CHECK(results.unreachable(balancer.now, FirstProber, {Silent, restarted.born}));
    CHECK(balancer.steering.targets().declareGone(balancer.now, {Silent, restarted.born}));
}

// An overloaded target does not answer opening packets either: it is reported, and its kernel accepts the probes' connections.
TEST_CASE("one balancer's report of an unanswered opening packet starts a probe, and a dead target is gone before the second copy")
{
    constexpr Duration LongestDelay = milliseconds(20); // Between two data centres.
    constexpr Duration ReplicaTick = milliseconds(25);
    for (const bool dead : {true, false}) {
        Balancer balancer;
        balancer.now += seconds(5);
        ProbeSchedule schedule;
        ProbeResults results(OneReplica);
        FlowPacket opening = Balancer::packet(1, Silent, 0, 0);
        opening.opening = true;
        const TargetKey first = balancer.steering.steer(balancer.now, opening).target;
        const TimePoint openedAt = balancer.now;
        opening.copy = 1;
        balancer.now = openedAt + milliseconds(200);
        CHECK(balancer.steering.steer(balancer.now, opening).target == first);
        balancer.now += LongestDelay + LongestDelay; // To the replica that the balancer follows, and from there to the probers.
        int probes = 0;
        for (const TargetKey key : balancer.steering.takeUnanswered()) {
            probes += schedule.reported(balancer.now, reported(key)) ? 1 : 0;
        }
        CHECK(probes == 1);
        balancer.now += ProbeTimeout + ReplicaTick + LongestDelay;
        if (dead) {
            CHECK_FALSE(results.unreachable(balancer.now, FirstProber, {first}));
            REQUIRE(results.unreachable(balancer.now, SecondProber, {first}));
            CHECK(balancer.steering.targets().declareGone(balancer.now, {first}));
        }
        REQUIRE(balancer.now < openedAt + milliseconds(600));
        balancer.now = openedAt + milliseconds(600);
        opening.copy = 2;
        CHECK((balancer.steering.steer(balancer.now, opening).target != first) == dead);
    }
}

TEST_CASE("the first packet of a flow is a sign of life if its opening came here, not if its data began elsewhere")
{
    Balancer balancer;
    balancer.now += RecentActivityWindow;
    balancer.request(1, Silent, 100, 1); // Sent and retransmitted through a balancer that has failed.
    CHECK(balancer.steering.targets().declareGone(balancer.now, {Silent}));
    Balancer other;
    other.now += RecentActivityWindow;
    FlowPacket opening = Balancer::packet(1, Silent, 0, 0);
    opening.opening = true;
    const SteeringDecision decision = other.steering.steer(other.now, opening);
    other.request(1, decision.target, 100, 1);
    CHECK_FALSE(other.steering.targets().declareGone(other.now, {decision.target}));
}

// Half of the balancers fail together with the targets of their data centre and return first: the flows of these targets
// are unknown to the balancers when the replicas find the targets gone.
TEST_CASE("data of an unknown flow is reset while its target counts as gone, and forwarded once the target shows a sign of life")
{
    Balancer balancer;
    balancer.now += seconds(1);
    REQUIRE(balancer.steering.targets().declareGone(balancer.now, {Silent}));
    balancer.steering.takeResets();
    balancer.now += milliseconds(300);
    const SteeringDecision late = balancer.request(1, Silent, 100, 1);
    CHECK(late.action == SteeringAction::Reset);
    CHECK(late.reason == SteeringReason::TargetGone);
    CHECK(late.resetSequence == 1);
    CHECK(balancer.request(2, Living, 100, 1).action == SteeringAction::Forward);
    balancer.acknowledge(3, Silent, 50);
    CHECK(balancer.request(4, Silent, 100, 1).action == SteeringAction::Forward);
    // The target counts as gone only for a limited time.
    balancer.now += seconds(1);
    REQUIRE(balancer.steering.targets().declareGone(balancer.now, {Silent}));
    balancer.now += GoneDuration;
    CHECK(balancer.request(5, Silent, 100, 1).action == SteeringAction::Forward);
    // It no longer counts as gone once a replica has received an announcement.
    balancer.now += seconds(1);
    REQUIRE(balancer.steering.targets().declareGone(balancer.now, {Silent}));
    TargetRecord heard = feedTarget(Silent);
    heard.sequence = 2;
    balancer.steering.targets().take(balancer.now, FirstReplica, {heard, false, Duration{0}, Duration{0}});
    CHECK(balancer.request(6, Silent, 100, 1).action == SteeringAction::Forward);
}

// Combines a failed target with a replica that is cut off, lost packets, and a live target that is slow for seconds. Time
// advances in steps of 10 ms.
TEST_CASE("under random faults no flow of a live, reachable target is reset")
{
    constexpr int Runs = 400;
    constexpr int Steps = 400;
    constexpr std::size_t Replicas = 3;
    int resetsOfSilent = 0;
    for (int run = 0; run < Runs; ++run) {
        pcg64 random(static_cast<std::uint64_t>(run));
        const auto chance = [&random](unsigned percent) {
            return random() % 100 < percent;
        };
        Balancer balancer;
        ProbeResults results(OneReplica);
        ProbeSchedule schedule; // Shared by all replicas, as they get the same reports.
        const bool dies = chance(50);
        const bool oneReplicaIsCutOff = chance(50); // Cut off from the targets, but connected to the balancer.
        const bool slow = chance(30); // The live target takes seconds to answer, but its kernel accepts connections.
        std::array<std::uint32_t, 10> sequence{};
        std::array<std::uint32_t, 10> acknowledged{};
        std::array<int, 10> unanswered{}; // Steps since the open request; 0 if there is none.
        std::vector<std::pair<int, TargetKey>> probes; // Step in which they end, target.
        for (int step = 0; step < Steps; ++step) {
            balancer.now += milliseconds(10);
            const bool dead = dies && step > 100;
            for (std::uint32_t caller = 0; caller < sequence.size(); ++caller) {
                const TargetKey target = caller % 2 == 0 ? Silent : Living;
                const bool answers = target == Silent ? !dead : !slow || chance(1);
                int &waited = unanswered[caller];
                if (waited == 0 && chance(3)) {
                    sequence[caller] += 100;
                    balancer.request(caller, target, sequence[caller], acknowledged[caller]);
                    waited = 1;
                } else if (waited > 0 && answers && !chance(10)) {
                    acknowledged[caller] += 100;
                    balancer.acknowledge(caller, target, acknowledged[caller]);
                    waited = 0;
                } else if (waited > 0 && (++waited == 20 || waited == 60)) {
                    balancer.request(caller, target, sequence[caller], acknowledged[caller]);
                }
            }
            for (const TargetKey key : balancer.steering.takeUnanswered()) {
                if (schedule.reported(balancer.now, reported(key))) {
                    probes.emplace_back(step + 30, key);
                }
            }
            for (const auto &[end, key] : probes) {
                if (end == step) {
                    schedule.ended(key);
                }
                for (std::size_t replica = 0; end == step && replica < Replicas; ++replica) {
                    const bool cutOff = replica == 0 && oneReplicaIsCutOff;
                    const bool unreachable = cutOff || (key == Silent && dead);
                    if (unreachable && results.unreachable(balancer.now, {ReplicaId{static_cast<std::uint32_t>(replica + 1)}, Here}, {key})) {
                        balancer.steering.targets().declareGone(balancer.now, {key});
                    }
                }
            }
            for (const FlowReset &each : balancer.steering.takeResets()) {
                const std::uint32_t caller = each.flow.caller.address - 0x64400000;
                REQUIRE(caller % 2 == 0);
                REQUIRE(dead);
                ++resetsOfSilent;
            }
        }
    }
    CHECK(resetsOfSilent > Runs);
}

// SPDX-License-Identifier: MIT
// Steering: which targets new flows may go to, and how they spread over them.
#include "steering_balancer.h"

#include <doctest/doctest.h>

#include <array>

using namespace Robinrail;
using std::chrono::milliseconds;
using std::chrono::seconds;

using Balancer = SteeringBalancer;

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
    constexpr std::uint64_t NewFlows = 250;
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
    std::uint64_t drawn = 0;
    for (std::uint64_t i = 0; i < NewFlows; ++i) {
        drawn += balancers[i % Balancers].open(1'000 + static_cast<std::uint32_t>(i)).target == TargetKey{999} ? 1 : 0;
    }
    CHECK(drawn > 0);
    CHECK(drawn <= 3 * NewFlows / (Targets + 1)); // Twice, and as much again for the luck of the hash.
}

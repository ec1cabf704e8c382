// SPDX-License-Identifier: MIT
// Admission control under overload: targets keep doing useful work, urgent requests come first, flows use the data centres that
// have room, and nothing is refused without overload.
#include "admission_model.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <string>

using namespace Robinrail;
using namespace Robinrail::AdmissionModel;

TEST_CASE("admission: 1.2 and 1.5 times the capacity of all slots leave 90% of it useful")
{
    // Load: all callers of a data centre for 8 s, each returning up to twice. Guards against collapse: slots that work for callers
    // whose objective has passed, limits that fall so far that slots idle, and urgent callers that are refused with the others.
    for (const double load : {1.2, 1.5}) {
        for (const std::uint64_t seed : {1, 2, 3}) {
            CAPTURE(load);
            CAPTURE(seed);
            Options options;
            options.seed = seed;
            Fleet fleet(options, 0.2);
            fleet.setLoad(0, load);
            const auto intervals = fleet.run(seconds(8), seconds(1));
            fleet.setLoad(0, 0.2);
            const auto after = fleet.run(seconds(6), seconds(1));
            const double useful = lowestUsefulShare(intervals, 1);
            const double urgent = lowestUrgentShare(intervals, 1);
            printFigure("load " + std::to_string(load) + ", lowest useful share in 2 s", useful);
            printFigure("load " + std::to_string(load) + ", lowest share of urgent answers in 2 s", urgent);
            CHECK(useful >= 0.9);
            CHECK(urgent >= 0.95);
            for (std::size_t i = 2; i + 1 < after.size(); i++) {
                CHECK(total(after[i]).refused == 0);
                CHECK(total(after[i]).good == total(after[i]).offered);
            }
            CHECK(total(after[5]).restricted == 0);
        }
    }
}

TEST_CASE("admission: one data centre beyond its capacity uses the slots of the idle others")
{
    // Load: 1.1, 1.5 and 1.9 times the capacity of one of three data centres. Guards against refusals while there is room
    // elsewhere, against a herd that fills the others at once, and against flows that stay away after the overload.
    for (const double load : {1.1, 1.5, 1.9}) {
        for (const std::uint64_t seed : {1, 2}) {
            CAPTURE(load);
            CAPTURE(seed);
            Options options;
            options.dataCentres = 3;
            options.seed = seed;
            Fleet fleet(options, 0.1);
            fleet.setLoad(0, load);
            auto intervals = fleet.run(seconds(9), seconds(1));
            intervals.pop_back(); // Its requests may still be under way.
            const Outcomes all = totalOf(intervals);
            printFigure("one data centre at " + std::to_string(load) + ", answered within the objective", all.good / all.offered);
            CHECK(all.good >= 0.97 * all.offered);
            fleet.setLoad(0, 0.2);
            const auto after = fleet.run(seconds(8), seconds(1));
            CHECK(total(after[6]).restricted == 0);
        }
    }
}

TEST_CASE("admission: callers of another data centre yield to its own callers")
{
    // Load: one data centre at 1.5 times its capacity beside one at 0.8. Guards against overflow that refuses the callers of the
    // data centre that it flows to.
    Options options;
    options.dataCentres = 2;
    Fleet fleet(options, 0.3);
    fleet.setLoad(0, 1.5);
    fleet.setLoad(1, 0.8);
    fleet.run(seconds(2), seconds(1));
    printFigure("refused opening packets of the own callers beside an overflow, first 2 s", fleet.refusedOf(1) / fleet.offeredOf(1));
    fleet.run(seconds(6), seconds(1));
    const double refusedThere = fleet.refusedOf(1) / fleet.offeredOf(1);
    const double refusedHere = fleet.refusedOf(0) / fleet.offeredOf(0);
    printFigure("the same in the next 6 s", refusedThere);
    printFigure("refused opening packets of the callers that overflow in the next 6 s", refusedHere);
    CHECK(refusedThere <= 0.02);
}

TEST_CASE("admission: nothing is refused and no choice changes without overload")
{
    // Load: 0.2 to 0.8 of the capacity with random arrivals, where some targets have queues for moments. Guards against limits
    // that follow noise.
    for (const double load : {0.2, 0.4, 0.6, 0.7, 0.8}) {
        for (const std::uint64_t seed : {1, 2, 3}) {
            CAPTURE(load);
            CAPTURE(seed);
            Options options;
            options.seed = seed;
            Fleet fleet(options);
            fleet.setLoad(0, load);
            const Outcomes all = totalOf(fleet.run(seconds(20), seconds(20)));
            printFigure("load " + std::to_string(load) + ", verdicts other than Anywhere", all.restricted / all.offered);
            CHECK(all.refused == 0);
            CHECK(all.restricted == 0);
        }
    }
}

TEST_CASE("admission: balancers that decide alone admit similar rates")
{
    // Load: 1.5 times the capacity at 26 balancers that share the targets. Guards against balancers that drift apart, as their
    // windows see different answers.
    for (const std::uint64_t seed : {1, 2, 3}) {
        CAPTURE(seed);
        Options options;
        options.seed = seed;
        Fleet fleet(options, 0.2);
        fleet.setLoad(0, 1.5);
        fleet.run(seconds(20), seconds(1));
        const std::vector<double> before = fleet.admittedByBalancer();
        fleet.run(seconds(10), seconds(1));
        const std::vector<double> after = fleet.admittedByBalancer();
        double sum = 0;
        double squares = 0;
        double lowest = std::numeric_limits<double>::max();
        double highest = 0;
        for (std::size_t i = 0; i < after.size(); i++) {
            const double admitted = after[i] - before[i];
            sum += admitted;
            squares += admitted * admitted;
            lowest = std::min(lowest, admitted);
            highest = std::max(highest, admitted);
        }
        const double mean = sum / static_cast<double>(after.size());
        const double deviation = std::sqrt(squares / static_cast<double>(after.size()) - mean * mean) / mean;
        printFigure("spread of 26 balancers: relative standard deviation", deviation);
        printFigure("spread of 26 balancers: lowest by mean", lowest / mean);
        printFigure("spread of 26 balancers: highest by mean", highest / mean);
        CHECK(deviation <= 0.15);
        CHECK(lowest >= 0.6 * mean);
        CHECK(highest <= 1.5 * mean);
    }
}

TEST_CASE("admission: flows without a latency objective are never refused")
{
    // Load: a pool without answers whose flows with an objective are refused. Guards against refusals of routes that have not asked
    // for admission control.
    SingleBalancer balancer;
    const RequestObjective none{7, {}, seconds(4)};
    balancer.run(seconds(10), {{Normal, milliseconds(400), seconds(4)}}, 100, Duration{});
    REQUIRE(balancer.control.pools().begin()->second.limiting());
    for (std::uint64_t caller = 0; caller < 1000; caller++) {
        CHECK(balancer.control.decide(balancer.now, Service, none, caller, balancer.usable).verdict == AdmissionVerdict::Anywhere);
    }
}

TEST_CASE("admission: without targets in the own data centre the others are limited one by one")
{
    // Load: answers of 30 ms, then of 200 ms, from the only two usable data centres, which are remote. Guards against refusals while
    // one of them has room, and against no limit at all.
    SingleBalancer balancer;
    balancer.usable = {DataCentreId{2}, DataCentreId{3}};
    const std::vector<RequestObjective> kinds = {{Normal, milliseconds(400), seconds(4)}};
    CHECK(balancer.run(seconds(3), kinds, 200, milliseconds(30))[Normal] == doctest::Approx(200).epsilon(0.01));
    std::size_t refused = 0;
    for (int i = 0; i < 600; i++, balancer.now += milliseconds(5)) {
        const AdmissionDecision decision = balancer.control.decide(balancer.now, Service, kinds[0], hashPair(balancer.nextCaller++, 0), balancer.usable);
        refused += decision.verdict == AdmissionVerdict::RefusedByPools ? 1 : 0;
        const DataCentreId to = decision.verdict == AdmissionVerdict::DataCentre ? decision.dataCentre : balancer.usable[static_cast<std::size_t>(i) % 2];
        if (decision.verdict != AdmissionVerdict::RefusedByPools) {
            balancer.control.recordAnswer(balancer.now, {Service, to}, to == DataCentreId{2} ? milliseconds(200) : milliseconds(30));
        }
        balancer.control.tick(balancer.now);
    }
    CHECK(refused == 0);
    CHECK(balancer.run(seconds(4), kinds, 200, milliseconds(200))[Normal] < 150);
}

TEST_CASE("admission: overflow to a data centre that is cut off stays at a few flows")
{
    // Load: 200 flows/s whose own answers take 200 ms instead of 30 ms, while another data centre never answers. Guards against
    // overflow that grows without answers.
    SingleBalancer balancer;
    const RequestObjective objective{Normal, milliseconds(400), seconds(4)};
    balancer.run(seconds(3), {objective}, 200, milliseconds(30));
    balancer.usable = {SingleBalancer::Here, SingleBalancer::There};
    std::array<std::size_t, 10> lost{}; // Flows to the silent data centre, by second.
    for (std::size_t i = 0; i < 2000; i++, balancer.now += milliseconds(5)) {
        const AdmissionDecision decision = balancer.control.decide(balancer.now, Service, objective, hashPair(balancer.nextCaller++, 0), balancer.usable);
        if (decision.verdict == AdmissionVerdict::DataCentre && decision.dataCentre == SingleBalancer::There) {
            lost[i / 200]++;
        } else if (decision.verdict != AdmissionVerdict::RefusedByPools) {
            balancer.control.recordAnswer(balancer.now, {Service, SingleBalancer::Here}, milliseconds(200));
        }
        balancer.control.tick(balancer.now);
    }
    for (const std::size_t each : lost) {
        printFigure("flows per second to a data centre that is cut off", static_cast<double>(each));
    }
    CHECK(std::ranges::max(lost) <= 60);
    CHECK(lost[9] <= 4 * MinAdmittedRate);
}

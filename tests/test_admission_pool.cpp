// SPDX-License-Identifier: MIT
// Pools of admission control: how the limit of a pool follows answer times, and how the usual answer time is learned.
#include "admission_model.h"

#include <doctest/doctest.h>

#include <string>
#include <utility>

using namespace Robinrail;
using namespace Robinrail::AdmissionModel;

TEST_CASE("admission: a few slow targets cause no refusals")
{
    // Load: 0.3 of the capacity while 14% of the targets are 7.5 times slower, which are full and reject. Guards against a mean
    // that a few targets dominate.
    for (const std::uint64_t seed : {1, 2, 3}) {
        CAPTURE(seed);
        Options options;
        options.seed = seed;
        Fleet fleet(options, 0.3);
        for (std::size_t i = 0; i < 6; i++) {
            fleet.targets(0)[i].slowness = 7.5;
        }
        const Outcomes all = totalOf(fleet.run(seconds(20), seconds(20)));
        printFigure("slow targets, refused", all.refused / all.offered);
        printFigure("slow targets, verdicts other than Anywhere", all.restricted / all.offered);
        CHECK(all.refused == 0);
    }
}

TEST_CASE("admission: balancers that start under overload limit it without a usual answer time")
{
    // Load: 1.5 times the capacity from the first flow on, as after a restart. Guards against a usual time that is learned from
    // full queues and allows them for good.
    for (const std::uint64_t seed : {1, 2, 3}) {
        CAPTURE(seed);
        Options options;
        options.seed = seed;
        Fleet fleet(options);
        fleet.setLoad(0, 1.5);
        const auto intervals = fleet.run(seconds(9), seconds(1));
        const double useful = lowestUsefulShare(intervals, 2);
        const double urgent = lowestUrgentShare(intervals, 2);
        printFigure("start under overload, lowest useful share in 2 s", useful);
        printFigure("start under overload, lowest share of urgent answers in 2 s", urgent);
        CHECK(useful >= 0.9);
        CHECK(urgent >= 0.95);
        fleet.setLoad(0, 0.3);
        const auto after = fleet.run(seconds(4), seconds(1));
        CHECK(total(after[2]).refused == 0);
    }
}

TEST_CASE("admission: a pool whose answers stop gets a few flows until they return")
{
    // Load: half of the capacity while no target answers. Guards against flows that are sent to a data centre that is cut off, and
    // against a pool that stays refused once it is back.
    Options options;
    options.attempts = 1;
    Fleet fleet(options, 0.5);
    fleet.setSilent(0, true);
    const auto silent = fleet.run(seconds(16), seconds(1));
    const Outcomes last = total(silent[14]);
    printFigure("silent pool, flows per second and balancer after 14 s", (last.offered - last.refused) / 26);
    CHECK(last.offered - last.refused <= 4 * MinAdmittedRate * 26);
    fleet.setSilent(0, false);
    const auto after = fleet.run(seconds(10), seconds(1));
    for (std::size_t i = 0; i < after.size(); i++) {
        printFigure("second " + std::to_string(i) + " after a silent pool, refused", total(after[i]).refused / total(after[i]).offered);
    }
    CHECK(total(after[8]).refused == 0);
}

TEST_CASE("admission: new priorities apply within a second")
{
    // Load: two kinds of flows, of which the pool can take one; then a document exchanges their priorities. Guards against an order
    // that was right for an earlier document.
    std::vector<RequestObjective> kinds = {{1, milliseconds(400), seconds(4)}, {3, milliseconds(400), seconds(4)}};
    SingleBalancer balancer;
    balancer.run(seconds(3), kinds, 100, milliseconds(30));
    balancer.run(milliseconds(1400), kinds, 100, milliseconds(100));
    REQUIRE(balancer.control.pools().begin()->second.limiting());
    PriorityRates admitted = balancer.run(milliseconds(200), kinds, 100, milliseconds(75));
    CHECK(admitted[1] >= 95);
    CHECK(admitted[3] <= 85);
    std::swap(kinds[0].priority, kinds[1].priority);
    balancer.run(milliseconds(600), kinds, 100, milliseconds(75));
    admitted = balancer.run(milliseconds(200), kinds, 100, milliseconds(75));
    CHECK(admitted[1] >= 95);
    CHECK(balancer.control.pools().begin()->second.limiter().refuses(3));
}

TEST_CASE("admission: a service that becomes slower or faster is not refused for good")
{
    // Load: unloaded targets whose answers take 4 times as long, and a fifth of the time, after a new release. Guards against a usual
    // time that never rises, and against fast answers that count as rejections.
    const std::vector<RequestObjective> kinds = {{Normal, seconds(2), seconds(4)}};
    SingleBalancer slower;
    slower.run(seconds(40), kinds, 50, milliseconds(30));
    slower.run(seconds(70), kinds, 50, milliseconds(120));
    slower.run(seconds(20), kinds, 50, milliseconds(120));
    CHECK(slower.run(seconds(5), kinds, 50, milliseconds(120))[Normal] == doctest::Approx(50).epsilon(0.02));
    SingleBalancer faster;
    faster.run(seconds(10), kinds, 50, milliseconds(30));
    CHECK(faster.run(seconds(10), kinds, 50, milliseconds(6))[Normal] == doctest::Approx(50).epsilon(0.01));
    CHECK(faster.control.usualAnswerTime(Service) == milliseconds(6));
}

// SPDX-License-Identifier: MIT
// Fleet model: what a replica says and what it costs grows no faster than the targets of its data centre.
#include "fleet_model.h"

#include <doctest/doctest.h>

#include <cmath>

using namespace Robinrail;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// Everything in a data centre grows alike.
FleetShape scaledShape(std::size_t size)
{
    return {5, size, 4 * size, 60 * size};
}

// The power of the size by which a figure grows, between sizes 1 and 4.
double growthExponent(double small, double large)
{
    return std::log(large / small) / std::log(4.0);
}

struct Phases {
    FleetMetrics calm;
    FleetMetrics release;
    FleetMetrics restart;
};

Phases measurePhases(std::size_t size)
{
    FleetModel model(scaledShape(size), 3);
    Phases phases;
    model.start();
    model.run(seconds(5));
    model.takeMetrics();
    model.run(seconds(5));
    phases.calm = model.takeMetrics();
    model.drain(scaledShape(size).targetsEach / 5, seconds(3), seconds(6));
    model.run(seconds(12));
    phases.release = model.takeMetrics();
    CHECK(model.inSync());
    CHECK(model.drainsUnanswered() == 0);
    CHECK(model.longestDrainAnswer() <= milliseconds(60));
    model.restartAll(seconds(1));
    model.run(seconds(4));
    phases.restart = model.takeMetrics();
    CHECK(model.inSync());
    return phases;
}

} // namespace

TEST_CASE("what a replica tells the others grows no faster than the targets of its data centre, calm or in a release")
{
    const Phases small = measurePhases(1);
    const Phases large = measurePhases(4);
    CHECK(growthExponent(small.calm.replicaBytes, large.calm.replicaBytes) <= 1.2); // Peers grow from 4 to 19: as n^1.12.
    CHECK(growthExponent(small.release.replicaBytes, large.release.replicaBytes) <= 1.2);
    CHECK(growthExponent(small.release.replicaMessages, large.release.replicaMessages) <= 1.2);
    // A hash for eight targets on each link, either way on two links, and a beat: a fiftieth of the targets' records.
    const double targets = 5.0 * 60 * 4 * 0.8;
    const double links = 2.0 * 19;
    CHECK(large.restart.replicaBytes < links * targets * 2);
}

TEST_CASE("a replica that lost its disk has all targets again within a second of the others")
{
    FleetModel model(scaledShape(4), 5);
    model.start();
    model.run(seconds(5));
    model.takeMetrics();
    model.restartAll(seconds(1), {0, 1});
    model.run(seconds(2));
    CHECK(model.inSync());
    constexpr double RecordBytes = 110;
    constexpr double Targets = 5.0 * 60 * 4;
    // Two replicas get each target once; 20 replicas send it all together.
    CHECK(model.takeMetrics().replicaBytes * 20 < 2 * Targets * RecordBytes + 20.0 * 2 * 19 * Targets * 2);
}

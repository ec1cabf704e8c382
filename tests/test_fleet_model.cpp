// SPDX-License-Identifier: MIT
// Fleet model: a replica's traffic grows no faster than the number of targets in its data centre.
#include "fleet_model.h"

#include <doctest/doctest.h>

#include <cmath>

using namespace Robinrail;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// Replicas, balancers and targets of each data centre in constant proportion.
FleetShape scaledShape(std::size_t size)
{
    return {5, size, 4 * size, 60 * size};
}

// The exponent k of a figure that grows as size^k, from sizes 1 and 4.
double growthExponent(double small, double large)
{
    return std::log(large / small) / std::log(4.0);
}

struct Phases {
    FleetMetrics steady;
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
    phases.steady = model.takeMetrics();
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

TEST_CASE("traffic among replicas grows no faster than the targets of a data centre, and a restart sends digests instead of records")
{
    const Phases small = measurePhases(1);
    const Phases large = measurePhases(4);
    CHECK(growthExponent(small.steady.replicaBytes, large.steady.replicaBytes) <= 1.2); // The number of peers grows from 4 to 19, as n^1.12.
    CHECK(growthExponent(small.release.replicaBytes, large.release.replicaBytes) <= 1.2);
    CHECK(growthExponent(small.release.replicaMessages, large.release.replicaMessages) <= 1.2);
    // After a restart replicas exchange digests, one hash for eight targets, both ways on both links of each pair, and heartbeats.
    // That is at most 2 bytes per target and link, a fiftieth of a target's record.
    const double targets = 5.0 * 60 * 4 * 0.8;
    const double links = 2.0 * 19;
    CHECK(large.restart.replicaBytes < links * targets * 2);
}

TEST_CASE("replicas that lost their disks recover all targets within two seconds of the restart")
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
    // Two replicas receive each target once; the figure is the mean of what 20 replicas send.
    CHECK(model.takeMetrics().replicaBytes * 20 < 2 * Targets * RecordBytes + 20.0 * 2 * 19 * Targets * 2);
}

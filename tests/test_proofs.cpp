// SPDX-License-Identifier: MIT
// Simulation: invariants of the balancers under faults, in virtual time, for both deployments and several seeds.
#include "simulation.h"

#include <doctest/doctest.h>

using namespace Robinrail;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t SeedCount = 4;

SimulationOptions optionsForSeed(std::uint64_t seed)
{
    SimulationOptions options;
    options.deployment = seed % 2 == 0 ? bogota() : kathmandu();
    options.seed = seed;
    options.load = 0.6;
    return options;
}

// Invariants that hold under any fault.
void checkInvariants(const SimulationResult &result)
{
    CHECK(result.runTwice == 0);
    CHECK(result.falseNotRun == 0);
    CHECK(result.wrongAnswers == 0);
    CHECK(result.crossDeliveries == 0);
    CHECK(result.outcomes[0] > 0);
}

template<typename Prepare, typename Check>
void runForSeeds(Prepare prepare, Check check)
{
    for (std::uint64_t seed = 1; seed <= SeedCount; ++seed) {
        CAPTURE(seed);
        SimulationOptions options = optionsForSeed(seed);
        prepare(options);
        const SimulationResult result = Simulation<PartitionedSlots>(options).run();
        checkInvariants(result);
        check(result);
    }
}

} // namespace

TEST_CASE("every balancer is stopped in turn with feeds open: no broken flow")
{
    runForSeeds(restartBalancersInTurn, [](const SimulationResult &result) {
        CHECK(result.brokenFlows == 0);
        CHECK(result.stoppedBalancers == 8);
        CHECK(result.longestStall < seconds(2));
        CHECK(result.unanswered == 0);
    });
}

TEST_CASE("every target is replaced in turn: no broken flow, and no new work after 3 s")
{
    runForSeeds(replaceTargetsInTurn, [](const SimulationResult &result) {
        CHECK(result.brokenFlows == 0);
        CHECK(result.lateWork == 0);
        CHECK(result.unanswered == 0);
    });
}

TEST_CASE("a tenth of the packets lost, duplicated and delayed: requests are answered completely or refused once")
{
    runForSeeds(dropDuplicateAndDelay, [](const SimulationResult &result) {
        CHECK(result.brokenFlows == 0);
        CHECK(result.sent >= result.outcomes[0]);
    });
}

TEST_CASE("a killed balancer breaks no flow")
{
    runForSeeds(
        [](SimulationOptions &options) {
            options.faults = {{seconds(5), FaultKind::KillBalancer, 3}};
        },
        [](const SimulationResult &result) {
            CHECK(result.brokenFlows == 0);
            CHECK(result.outcomes[static_cast<std::size_t>(Outcome::OutcomeUnknown)] * 10 < result.sent);
        });
}

TEST_CASE("a balancer that freezes and returns breaks no flow")
{
    runForSeeds(
        [](SimulationOptions &options) {
            options.faults = {{seconds(5), FaultKind::FreezeBalancer, 3}, {seconds(15), FaultKind::UnfreezeBalancer, 3}};
        },
        [](const SimulationResult &result) {
            CHECK(result.brokenFlows == 0);
        });
}

TEST_CASE("a data centre partitioned and reconnected: two views of the membership run no request twice")
{
    runForSeeds(
        [](SimulationOptions &options) {
            options.faults = {{seconds(5), FaultKind::IsolateDataCentre, 1}, {seconds(15), FaultKind::ReconnectDataCentre, 1}};
        },
        [](const SimulationResult &result) {
            CHECK(result.brokenFlows == 0);
        });
}

TEST_CASE("a target that dies and one that announces itself but never answers break no flow")
{
    runForSeeds(
        [](SimulationOptions &options) {
            options.faults = {{seconds(5), FaultKind::KillTarget, 1}, {seconds(8), FaultKind::SilenceTarget, 2}};
        },
        [](const SimulationResult &result) {
            CHECK(result.brokenFlows == 0);
        });
}

TEST_CASE("all faults together keep the invariants")
{
    runForSeeds(combineAllFaults, [](const SimulationResult &) {});
}

TEST_CASE("a balancer that joins under traffic has the same view of the targets as the others")
{
    SimulationOptions options = optionsForSeed(1);
    options.faults = {{seconds(2), FaultKind::KillBalancer, 2}, {seconds(8), FaultKind::StartBalancer, 2}};
    Simulation<PartitionedSlots> simulation(options);
    checkInvariants(simulation.run());
    const std::span<const Target> joined = std::as_const(simulation.balancer(2).context().targets).targets();
    const std::span<const Target> old = std::as_const(simulation.balancer(1).context().targets).targets();
    REQUIRE(joined.size() == old.size());
    for (std::size_t i = 0; i < joined.size(); ++i) {
        CHECK(joined[i].state == old[i].state);
        CHECK(usableSlots(joined[i], simulation.now()) == usableSlots(old[i], simulation.now()));
    }
}

TEST_CASE("without faults no request ends with an unknown outcome")
{
    runForSeeds(
        [](SimulationOptions &options) {
            options.duration = seconds(60);
        },
        [](const SimulationResult &result) {
            CHECK(result.outcomes[static_cast<std::size_t>(Outcome::OutcomeUnknown)] == 0);
        });
}

TEST_CASE("the same seed gives the same run")
{
    SimulationOptions options = optionsForSeed(1);
    options.duration = seconds(10);
    dropDuplicateAndDelay(options);
    CHECK(Simulation<PartitionedSlots>(options).run().signature() == Simulation<PartitionedSlots>(options).run().signature());
}

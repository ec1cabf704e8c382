// SPDX-License-Identifier: MIT
// Replica selector: which replica a balancer follows. Announcement choice: which replica a target announces itself to.
#include "announcement_choice.h"
#include "replica_selector.h"

#include <doctest/doctest.h>

using namespace Robinrail;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr ReplicaId LocalReplica{21};
constexpr ReplicaId RemoteReplica{22};
constexpr ReplicaId OtherRemoteReplica{23};
constexpr DataCentreId LocalDataCentre{1};
constexpr DataCentreId RemoteDataCentre{2};
const TimePoint Start(std::chrono::hours(1));

TargetRecord targetOf(std::uint64_t key)
{
    TargetRecord record;
    record.key = TargetKey{key};
    record.dataCentre = LocalDataCentre;
    record.sequence = 1;
    return record;
}

std::vector<ReplicaLocation> threeReplicas()
{
    return {{RemoteReplica, RemoteDataCentre}, {LocalReplica, LocalDataCentre}, {OtherRemoteReplica, RemoteDataCentre}};
}

// A selector that is updated every 50 ms, with healthy replicas that confirm their quorum at each step.
struct SelectorFixture {
    explicit SelectorFixture(std::uint64_t self = 7)
        : selector(LocalDataCentre, self)
    {
    }

    void run(Duration time)
    {
        const TimePoint end = now + time;
        for (; now < end; now += milliseconds(50)) {
            for (const ReplicaId replica : healthy) {
                selector.onQuorumConfirmed(now, replica);
            }
            selector.update(now);
        }
    }

    void linkUp(ReplicaId replica)
    {
        selector.onLinkUp(now, replica);
        healthy.insert(replica);
    }

    void lose(ReplicaId replica)
    {
        healthy.erase(replica);
        selector.onLinkLost(now, replica);
    }

    ReplicaSelector selector;
    TimePoint now = Start;
    std::set<ReplicaId> healthy;
};

} // namespace

TEST_CASE("a balancer ends with one link, to the replica of its data centre, whichever seed it reached first")
{
    for (std::uint64_t self = 1; self <= 50; ++self) {
        SelectorFixture fixture(self);
        const std::vector<ReplicaId> seeds = {RemoteReplica, OtherRemoteReplica};
        fixture.selector.setReplicas({}, seeds);
        fixture.selector.update(fixture.now);
        REQUIRE(fixture.selector.desiredLinks().size() == 1);
        const ReplicaId first = *fixture.selector.desiredLinks().begin();
        fixture.linkUp(first);
        fixture.selector.setReplicas(threeReplicas(), seeds);
        fixture.selector.update(fixture.now);
        CHECK(fixture.selector.desiredLinks() == std::set<ReplicaId>{first, LocalReplica});
        CHECK(fixture.selector.followed().empty());
        fixture.run(milliseconds(20));
        fixture.linkUp(LocalReplica);
        fixture.run(milliseconds(50));
        CHECK(fixture.selector.followed() == std::vector<ReplicaId>{LocalReplica});
        fixture.selector.onDirectoryComplete(LocalReplica);
        fixture.run(milliseconds(50));
        CHECK(fixture.selector.source() == LocalReplica);
        CHECK(fixture.selector.desiredLinks() == std::set<ReplicaId>{LocalReplica});
    }
}

TEST_CASE("a balancer that starts while no replica is up dials one more each 50 ms and follows the first that is up")
{
    SelectorFixture fixture;
    const std::vector<ReplicaId> seeds = {LocalReplica, RemoteReplica, OtherRemoteReplica};
    fixture.selector.setReplicas({}, seeds);
    fixture.run(milliseconds(50));
    CHECK(fixture.selector.desiredLinks().size() == 1);
    fixture.run(milliseconds(100));
    CHECK(fixture.selector.desiredLinks().size() == 3);
    // The replica is up but has no quorum yet.
    fixture.selector.onLinkUp(fixture.now, OtherRemoteReplica);
    fixture.run(FirstChoiceGrace + milliseconds(50));
    CHECK(fixture.selector.followed() == std::vector<ReplicaId>{OtherRemoteReplica});
    fixture.selector.onDirectoryComplete(OtherRemoteReplica);
    fixture.run(milliseconds(50));
    CHECK(fixture.selector.source() == OtherRemoteReplica);
}

TEST_CASE("a replica that accepted the connection is waited for, but not beyond the handshake grace")
{
    SelectorFixture fixture;
    const std::vector<ReplicaId> seeds = {LocalReplica, RemoteReplica, OtherRemoteReplica};
    fixture.selector.setReplicas({}, seeds);
    fixture.run(milliseconds(50));
    REQUIRE(fixture.selector.desiredLinks().size() == 1);
    const ReplicaId first = *fixture.selector.desiredLinks().begin();
    // Each connection is accepted by the kernel while the process is busy or stopped.
    const TimePoint answered = fixture.now;
    while (fixture.now - answered < HandshakeGrace) {
        fixture.selector.onAccepted(fixture.now, first);
        fixture.run(milliseconds(50));
    }
    CHECK(fixture.selector.desiredLinks().size() == 1);
    fixture.selector.onAccepted(fixture.now, first);
    fixture.run(milliseconds(150));
    CHECK(fixture.selector.desiredLinks().size() == 3);
}

TEST_CASE("a balancer leaves a replica that lost its quorum, and keeps its source until another directory is complete")
{
    SelectorFixture fixture;
    fixture.selector.setReplicas(threeReplicas(), {});
    fixture.linkUp(LocalReplica);
    fixture.selector.onDirectoryComplete(LocalReplica);
    fixture.run(milliseconds(500));
    REQUIRE(fixture.selector.source() == LocalReplica);
    // The replica is cut off from the other replicas but still connected to this balancer.
    fixture.healthy.erase(LocalReplica);
    fixture.run(HealthTimeout + milliseconds(200));
    CHECK(fixture.selector.desiredLinks().size() >= 2);
    fixture.linkUp(RemoteReplica);
    fixture.run(milliseconds(100));
    CHECK(fixture.selector.source() == LocalReplica);
    CHECK(fixture.selector.followed() == std::vector<ReplicaId>{LocalReplica, RemoteReplica});
    fixture.selector.onDirectoryComplete(RemoteReplica);
    fixture.run(milliseconds(100));
    CHECK(fixture.selector.source() == RemoteReplica);
    // With 1 s for the transfer of a directory, the failover takes less than 3 s, the shortest time in which a drain must be in
    // force.
    CHECK(fixture.now - Start < milliseconds(1000) + HealthTimeout);
    CHECK(fixture.selector.desiredLinks().contains(LocalReplica));
    CHECK(fixture.selector.desiredLinks().contains(RemoteReplica));
}

TEST_CASE("a killed source that is back at once is waited for, and a source is kept while no replica has a quorum")
{
    SelectorFixture fixture;
    fixture.selector.setReplicas(threeReplicas(), {});
    fixture.linkUp(LocalReplica);
    fixture.selector.onDirectoryComplete(LocalReplica);
    fixture.run(milliseconds(500));
    fixture.lose(LocalReplica);
    fixture.run(SourceGrace - milliseconds(100));
    CHECK(fixture.selector.desiredLinks() == std::set<ReplicaId>{LocalReplica});
    fixture.linkUp(LocalReplica);
    fixture.run(milliseconds(50));
    CHECK(fixture.selector.followed() == std::vector<ReplicaId>{LocalReplica});
    // No replica has a quorum any more.
    fixture.healthy.clear();
    fixture.run(seconds(5));
    for (const ReplicaId replica : {RemoteReplica, OtherRemoteReplica}) {
        fixture.selector.onLinkUp(fixture.now, replica);
    }
    fixture.run(seconds(5));
    CHECK(fixture.selector.source() == LocalReplica);
    CHECK(fixture.selector.desiredLinks().size() == 3);
}

TEST_CASE("balancers fail back to a recovered replica one after the other")
{
    constexpr std::uint64_t Balancers = 60;
    std::map<std::int64_t, int> perSecond;
    for (std::uint64_t self = 1; self <= Balancers; ++self) {
        SelectorFixture fixture(self);
        fixture.selector.setReplicas(threeReplicas(), {});
        fixture.linkUp(RemoteReplica);
        fixture.selector.onDirectoryComplete(RemoteReplica);
        fixture.run(seconds(1));
        REQUIRE(fixture.selector.source() == RemoteReplica);
        fixture.linkUp(LocalReplica);
        const TimePoint recovered = fixture.now;
        fixture.selector.onDirectoryComplete(LocalReplica);
        while (fixture.selector.source() != LocalReplica) {
            fixture.run(milliseconds(50));
            REQUIRE(fixture.now - recovered <= MaxFailbackDelay + milliseconds(100));
        }
        ++perSecond[std::chrono::duration_cast<seconds>(fixture.now - recovered).count()];
    }
    for (const auto &[second, moves] : perSecond) {
        CHECK(moves < 30);
    }
}

TEST_CASE("a removed replica is neither dialled nor followed")
{
    SelectorFixture fixture;
    fixture.selector.setReplicas(threeReplicas(), {});
    fixture.linkUp(LocalReplica);
    fixture.selector.onDirectoryComplete(LocalReplica);
    fixture.run(milliseconds(500));
    const std::vector<ReplicaLocation> rest = {{RemoteReplica, RemoteDataCentre}, {OtherRemoteReplica, RemoteDataCentre}};
    fixture.selector.setReplicas(rest, {});
    fixture.run(milliseconds(50));
    CHECK_FALSE(fixture.selector.desiredLinks().contains(LocalReplica));
    fixture.lose(LocalReplica);
    fixture.run(seconds(2));
    CHECK(fixture.selector.desiredLinks() == std::set<ReplicaId>{RemoteReplica, OtherRemoteReplica});
}

TEST_CASE("a target announces itself to one replica, of its data centre if there is one, and targets spread over the others")
{
    std::map<ReplicaId, int> counts;
    for (std::uint64_t key = 1; key <= 400; ++key) {
        TargetRecord record = targetOf(key);
        record.dataCentre = RemoteDataCentre;
        std::set<ReplicaId> replicas;
        int announced = 0;
        for (record.sequence = 1; record.sequence <= 40; ++record.sequence) {
            if (const auto replica = announcementReplica(record, threeReplicas())) {
                replicas.insert(*replica);
                ++announced;
            }
        }
        CHECK(announced == 10);
        REQUIRE(replicas.size() == 1);
        ++counts[*replicas.begin()];
    }
    CHECK(counts.contains(LocalReplica) == false);
    CHECK(counts[RemoteReplica] > 150);
    CHECK(counts[OtherRemoteReplica] > 150);
    TargetRecord alone = targetOf(1);
    alone.dataCentre = DataCentreId{9};
    int announced = 0;
    for (alone.sequence = 1; alone.sequence <= 4; ++alone.sequence) {
        announced += announcementReplica(alone, threeReplicas()) ? 1 : 0;
        CHECK_FALSE(announcementReplica(alone, {}));
    }
    CHECK(announced == 1);
}

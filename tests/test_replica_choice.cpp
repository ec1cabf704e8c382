// SPDX-License-Identifier: MIT
// Replica choice: which replica a balancer follows, and where a target announces itself.
#include "announcement_choice.h"
#include "replica_choice.h"

#include <doctest/doctest.h>

using namespace Robinrail;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr ReplicaId Near{21};
constexpr ReplicaId Far{22};
constexpr ReplicaId Farther{23};
constexpr DataCentreId Home{1};
constexpr DataCentreId Elsewhere{2};
const TimePoint Start(std::chrono::hours(1));

TargetRecord targetOf(std::uint64_t key)
{
    TargetRecord record;
    record.key = TargetKey{key};
    record.dataCentre = Home;
    record.sequence = 1;
    return record;
}

std::vector<ReplicaLocation> threePlaces()
{
    return {{Far, Elsewhere}, {Near, Home}, {Farther, Elsewhere}};
}

// A choice whose clock runs in steps of 50 ms and whose healthy replicas say so each 500 ms.
struct Chooser {
    explicit Chooser(std::uint64_t self = 7)
        : choice(Home, self)
    {
    }

    void run(Duration time)
    {
        const TimePoint end = now + time;
        for (; now < end; now += milliseconds(50)) {
            for (const ReplicaId replica : healthy) {
                choice.confirmed(now, replica);
            }
            choice.turn(now);
        }
    }

    void linkUp(ReplicaId replica)
    {
        choice.linked(now, replica);
        healthy.insert(replica);
    }

    void lose(ReplicaId replica)
    {
        healthy.erase(replica);
        choice.lost(now, replica);
    }

    ReplicaChoice choice;
    TimePoint now = Start;
    std::set<ReplicaId> healthy;
};

} // namespace

TEST_CASE("a balancer ends with one link, to the replica of its data centre, whichever seed it met first")
{
    for (std::uint64_t self = 1; self <= 50; ++self) {
        Chooser chooser(self);
        const std::vector<ReplicaId> seeds = {Far, Farther};
        chooser.choice.know({}, seeds);
        chooser.choice.turn(chooser.now);
        REQUIRE(chooser.choice.wanted().size() == 1);
        const ReplicaId first = *chooser.choice.wanted().begin();
        chooser.linkUp(first);
        chooser.choice.know(threePlaces(), seeds);
        chooser.choice.turn(chooser.now);
        CHECK(chooser.choice.wanted() == std::set<ReplicaId>{first, Near});
        CHECK(chooser.choice.followed().empty());
        chooser.run(milliseconds(20));
        chooser.linkUp(Near);
        chooser.run(milliseconds(50));
        CHECK(chooser.choice.followed() == std::vector<ReplicaId>{Near});
        chooser.choice.completed(Near);
        chooser.run(milliseconds(50));
        CHECK(chooser.choice.source() == Near);
        CHECK(chooser.choice.wanted() == std::set<ReplicaId>{Near});
    }
}

TEST_CASE("balancers that start while all is dark try one more replica each 50 ms and follow the first that is up")
{
    Chooser chooser;
    const std::vector<ReplicaId> seeds = {Near, Far, Farther};
    chooser.choice.know({}, seeds);
    chooser.run(milliseconds(50));
    CHECK(chooser.choice.wanted().size() == 1);
    chooser.run(milliseconds(100));
    CHECK(chooser.choice.wanted().size() == 3);
    // Up, and without a quorum yet.
    chooser.choice.linked(chooser.now, Farther);
    chooser.run(FirstChoicePatience + milliseconds(50));
    CHECK(chooser.choice.followed() == std::vector<ReplicaId>{Farther});
    chooser.choice.completed(Farther);
    chooser.run(milliseconds(50));
    CHECK(chooser.choice.source() == Farther);
}

TEST_CASE("a replica that took the connection is waited for, and no longer if it does not greet")
{
    Chooser chooser;
    const std::vector<ReplicaId> seeds = {Near, Far, Farther};
    chooser.choice.know({}, seeds);
    chooser.run(milliseconds(50));
    REQUIRE(chooser.choice.wanted().size() == 1);
    const ReplicaId first = *chooser.choice.wanted().begin();
    // Each attempt is answered, as the machine runs and the process is busy or stands still.
    const TimePoint answered = chooser.now;
    while (chooser.now - answered < HandshakePatience) {
        chooser.choice.answered(chooser.now, first);
        chooser.run(milliseconds(50));
    }
    CHECK(chooser.choice.wanted().size() == 1);
    chooser.choice.answered(chooser.now, first);
    chooser.run(milliseconds(150));
    CHECK(chooser.choice.wanted().size() == 3);
}

TEST_CASE("a balancer leaves a replica that lost its quorum, and keeps its view until another has told all")
{
    Chooser chooser;
    chooser.choice.know(threePlaces(), {});
    chooser.linkUp(Near);
    chooser.choice.completed(Near);
    chooser.run(milliseconds(500));
    REQUIRE(chooser.choice.source() == Near);
    // Cut off from the other replicas, it still speaks to this balancer.
    chooser.healthy.erase(Near);
    chooser.run(HealthyFor + milliseconds(200));
    CHECK(chooser.choice.wanted().size() >= 2);
    chooser.linkUp(Far);
    chooser.run(milliseconds(100));
    CHECK(chooser.choice.source() == Near);
    CHECK(chooser.choice.followed() == std::vector<ReplicaId>{Near, Far});
    chooser.choice.completed(Far);
    chooser.run(milliseconds(100));
    CHECK(chooser.choice.source() == Far);
    // The whole takes less than the shortest time in which a drain must be in force, 3 s, with a list of 1 s.
    CHECK(chooser.now - Start < milliseconds(1000) + HealthyFor);
    CHECK(chooser.choice.wanted().contains(Near));
    CHECK(chooser.choice.wanted().contains(Far));
}

TEST_CASE("a killed replica that is back at once is waited for, and a source without any quorum is kept")
{
    Chooser chooser;
    chooser.choice.know(threePlaces(), {});
    chooser.linkUp(Near);
    chooser.choice.completed(Near);
    chooser.run(milliseconds(500));
    chooser.lose(Near);
    chooser.run(SourceGrace - milliseconds(100));
    CHECK(chooser.choice.wanted() == std::set<ReplicaId>{Near});
    chooser.linkUp(Near);
    chooser.run(milliseconds(50));
    CHECK(chooser.choice.followed() == std::vector<ReplicaId>{Near});
    // No replica has a quorum any more.
    chooser.healthy.clear();
    chooser.run(seconds(5));
    for (const ReplicaId replica : {Far, Farther}) {
        chooser.choice.linked(chooser.now, replica);
    }
    chooser.run(seconds(5));
    CHECK(chooser.choice.source() == Near);
    CHECK(chooser.choice.wanted().size() == 3);
}

TEST_CASE("balancers that moved away return one after the other")
{
    constexpr std::uint64_t Balancers = 60;
    std::map<std::int64_t, int> perSecond;
    for (std::uint64_t self = 1; self <= Balancers; ++self) {
        Chooser chooser(self);
        chooser.choice.know(threePlaces(), {});
        chooser.linkUp(Far);
        chooser.choice.completed(Far);
        chooser.run(seconds(1));
        REQUIRE(chooser.choice.source() == Far);
        chooser.linkUp(Near);
        const TimePoint back = chooser.now;
        chooser.choice.completed(Near);
        while (chooser.choice.source() != Near) {
            chooser.run(milliseconds(50));
            REQUIRE(chooser.now - back <= MaxReturnDelay + milliseconds(100));
        }
        ++perSecond[std::chrono::duration_cast<seconds>(chooser.now - back).count()];
    }
    for (const auto &[second, moves] : perSecond) {
        CHECK(moves < 30);
    }
}

TEST_CASE("a replica that was removed is neither dialled nor followed any longer")
{
    Chooser chooser;
    chooser.choice.know(threePlaces(), {});
    chooser.linkUp(Near);
    chooser.choice.completed(Near);
    chooser.run(milliseconds(500));
    const std::vector<ReplicaLocation> rest = {{Far, Elsewhere}, {Farther, Elsewhere}};
    chooser.choice.know(rest, {});
    chooser.run(milliseconds(50));
    CHECK_FALSE(chooser.choice.wanted().contains(Near));
    chooser.lose(Near);
    chooser.run(seconds(2));
    CHECK(chooser.choice.wanted() == std::set<ReplicaId>{Far, Farther});
}

TEST_CASE("a target is sent to one replica, of its data centre if one can be reached, and targets spread over equals")
{
    std::map<ReplicaId, int> counts;
    for (std::uint64_t key = 1; key <= 400; ++key) {
        TargetRecord record = targetOf(key);
        record.dataCentre = Elsewhere;
        std::set<ReplicaId> named;
        int told = 0;
        for (record.sequence = 1; record.sequence <= 40; ++record.sequence) {
            if (const auto replica = announcementReplica(record, threePlaces())) {
                named.insert(*replica);
                ++told;
            }
        }
        CHECK(told == 10);
        REQUIRE(named.size() == 1);
        ++counts[*named.begin()];
    }
    CHECK(counts.contains(Near) == false);
    CHECK(counts[Far] > 150);
    CHECK(counts[Farther] > 150);
    TargetRecord alone = targetOf(1);
    alone.dataCentre = DataCentreId{9};
    int told = 0;
    for (alone.sequence = 1; alone.sequence <= 4; ++alone.sequence) {
        told += announcementReplica(alone, threePlaces()) ? 1 : 0;
        CHECK_FALSE(announcementReplica(alone, {}));
    }
    CHECK(told == 1);
}

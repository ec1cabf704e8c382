// SPDX-License-Identifier: MIT
// Targets: the replicas' target directory, and the lifetimes of targets in it.
#include "directory_fixture.h"

#include <doctest/doctest.h>

using namespace Robinrail;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint Start(std::chrono::hours(1));

} // namespace

TEST_CASE("the directory forwards changes in order and detects silent targets")
{
    TargetDirectory directory(seconds(1), seconds(3));
    TargetRecord record = targetOf(5, "quotes");
    CHECK(directory.announce(Start, record).size() == 1);
    record.sequence = 2;
    CHECK(directory.announce(Start + seconds(1), record).empty());
    record.sequence = 1;
    record.phase = TargetPhase::Draining;
    CHECK(directory.announce(Start + seconds(1), record).empty());
    record.sequence = 3;
    CHECK(directory.announce(Start + seconds(1), record).size() == 1);
    CHECK(directory.takeAnnouncedHere().size() == 4);
    CHECK(directory.tick(Start + seconds(2)).empty());
    CHECK(directory.tick(Start + seconds(4)).size() == 1);
    const std::vector<TargetKey> keys = {TargetKey{5}};
    CHECK(directory.renew(Start + seconds(5), keys).size() == 1);
    CHECK(directory.leave(Start + seconds(6), TargetKey{5}));
    record.sequence = 4;
    record.phase = TargetPhase::Serving;
    CHECK(directory.announce(Start + seconds(7), record).empty());
    CHECK(directory.find(TargetKey{5})->phase == TargetPhase::Left);
}

TEST_CASE("a target that restarts under the same key begins a new lifetime with its own sequence numbers")
{
    TargetDirectory directory(seconds(1), seconds(3));
    TargetRecord record = targetOf(5, "quotes");
    record.born = 1'000;
    record.sequence = 40;
    directory.announce(Start, record);
    TargetRecord again = record;
    again.born = 2'000;
    again.sequence = 1;
    CHECK(directory.announce(Start + seconds(1), again).size() == 1);
    CHECK(directory.find(TargetKey{5})->born == 2'000);
    // Delayed messages of the former lifetime change nothing: neither its drain nor its end.
    record.sequence = 41;
    record.phase = TargetPhase::Draining;
    CHECK(directory.announce(Start + seconds(2), record).empty());
    CHECK_FALSE(directory.apply(Start + seconds(2), {record, false, Duration{0}, seconds(2)}));
    CHECK_FALSE(directory.leave(Start + seconds(2), TargetKey{5}, 1'000));
    CHECK(directory.find(TargetKey{5})->phase == TargetPhase::Serving);
    // They do not count as announcements of the new lifetime, which goes silent at the usual time.
    CHECK(directory.tick(Start + seconds(4)).size() == 1);
    REQUIRE(directory.leave(Start + seconds(4), TargetKey{5}, 2'000));
    // After its end a third lifetime begins.
    again.born = 3'000;
    CHECK(directory.announce(Start + seconds(5), again).size() == 1);
    CHECK(directory.find(TargetKey{5})->phase == TargetPhase::Serving);
}

TEST_CASE("a departure that names no lifetime ends the current one")
{
    TargetDirectory directory(seconds(1), seconds(3));
    TargetRecord record = targetOf(5, "quotes");
    record.born = 1'000;
    directory.announce(Start, record);
    REQUIRE(directory.leave(Start, TargetKey{5}));
    CHECK(directory.find(TargetKey{5})->phase == TargetPhase::Left);
}

TEST_CASE("balancers are informed of a target that warms up again without a restart")
{
    TargetDirectory directory(seconds(1), seconds(3));
    TargetRecord record = targetOf(5, "quotes");
    record.warmupLeft = seconds(2);
    directory.announce(Start, record);
    // The same warm-up, announced again with less time left, is no change.
    record.sequence = 2;
    record.warmupLeft = milliseconds(1'050);
    CHECK(directory.announce(Start + seconds(1), record).empty());
    record.sequence = 3;
    record.warmupLeft = {};
    CHECK(directory.announce(Start + seconds(2), record).empty());
    record.sequence = 4;
    record.warmupLeft = milliseconds(1'800);
    const std::vector<TargetStatus> changes = directory.announce(Start + seconds(3), record);
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].record.warmupLeft == milliseconds(1'800));
}

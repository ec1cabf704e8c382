// SPDX-License-Identifier: MIT
// Version watch: which replicas vouch for what they have in force.
#include "raft_core.h"
#include "version_watch.h"

#include <doctest/doctest.h>

using namespace Robinrail;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint Start(std::chrono::hours(1));

} // namespace

TEST_CASE("a replica that lags behind another one does not vouch for its version, although it hears its leader")
{
    VersionTracker watch;
    CHECK(watch.isNewest(true, {}));
    watch.observeInForce({11, 0});
    CHECK_FALSE(watch.isNewest(true, {5, 0}));
    CHECK(watch.isNewest(true, {11, 0}));
    watch.observeInForce({5, 0}); // One that lags even more.
    CHECK_FALSE(watch.isNewest(true, {5, 0}));
    CHECK(watch.isNewest(true, {14, 0}));
    CHECK_FALSE(watch.isNewest(false, {14, 0}));
    watch.observeInForce({5, 2});
    CHECK_FALSE(watch.isNewest(true, {14, 1}));
    CHECK(watch.isNewest(true, {14, 2}));
}

TEST_CASE("a follower that lost an entry hears its leader for as long as its refusals do not get through")
{
    constexpr ReplicaKey Leader{ReplicaId{2}, 1};
    constexpr std::uint64_t Confirmed = 11;
    RaftCore follower({ReplicaId{1}, 1}, {}, Start, 7);
    VersionTracker watch;
    for (TimePoint now = Start; now < Start + seconds(10); now += RaftHeartbeat) {
        AppendRequest heartbeat;
        heartbeat.term = Term{3};
        heartbeat.previousIndex = LogIndex{5}; // The leader sent it, and it was lost with a link.
        heartbeat.previousTerm = Term{3};
        heartbeat.commit = LogIndex{5};
        follower.handle(now, Leader, heartbeat);
        follower.tick(now);
        CHECK(follower.inContact(now));
        CHECK(follower.commitIndex() == LogIndex{0});
        CHECK_FALSE(follower.caughtUp(now));
        watch.observeInForce({Confirmed, 0});
        CHECK_FALSE(watch.isNewest(follower.inContact(now), {5, 0}));
    }
}

TEST_CASE("a replica that has just restarted does not vouch for its table before its leader has told what is committed")
{
    PersistentRaftState disk = RaftCore::bootstrap(std::vector<ReplicaKey>{{ReplicaId{1}, 1}, {ReplicaId{2}, 1}, {ReplicaId{3}, 1}});
    constexpr ReplicaKey Leader{ReplicaId{2}, 1};
    const LogIndex held = disk.log.back().index;
    const Term term = disk.log.back().term;
    RaftCore follower({ReplicaId{1}, 1}, std::move(disk), Start, 7);
    CHECK_FALSE(follower.caughtUp(Start));
    AppendRequest heartbeat;
    heartbeat.term = Term{3};
    heartbeat.previousIndex = held;
    heartbeat.previousTerm = term;
    heartbeat.commit = LogIndex{value(held) + 1}; // The entry itself is still on its way.
    follower.handle(Start + milliseconds(50), Leader, heartbeat);
    CHECK(follower.inContact(Start + milliseconds(50)));
    CHECK_FALSE(follower.caughtUp(Start + milliseconds(50)));
    LogEntry missing;
    missing.term = Term{3};
    missing.index = heartbeat.commit;
    heartbeat.entries = {missing};
    follower.handle(Start + milliseconds(100), Leader, heartbeat);
    CHECK(follower.caughtUp(Start + milliseconds(100)));
    CHECK_FALSE(follower.caughtUp(Start + milliseconds(100) + ElectionTimeout * 2));
}

// SPDX-License-Identifier: MIT
// Tests of the version tracker: when a replica may confirm its routing version as the newest one.
#include "raft_core.h"
#include "version_tracker.h"

#include <doctest/doctest.h>

using namespace Robinrail;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint Start(std::chrono::hours(1));

} // namespace

TEST_CASE("a replica that lags behind another one does not confirm its version, although it is in contact with its leader")
{
    VersionTracker tracker;
    CHECK(tracker.isNewest(true, {}));
    tracker.observeInForce({11, 0});
    CHECK_FALSE(tracker.isNewest(true, {5, 0}));
    CHECK(tracker.isNewest(true, {11, 0}));
    tracker.observeInForce({5, 0}); // From a replica that lags further behind.
    CHECK_FALSE(tracker.isNewest(true, {5, 0}));
    CHECK(tracker.isNewest(true, {14, 0}));
    CHECK_FALSE(tracker.isNewest(false, {14, 0}));
    tracker.observeInForce({5, 2});
    CHECK_FALSE(tracker.isNewest(true, {14, 1}));
    CHECK(tracker.isNewest(true, {14, 2}));
}

TEST_CASE("a follower that misses an entry is in contact with its leader but not caught up while its rejections of appends are lost")
{
    constexpr ReplicaKey Leader{ReplicaId{2}, 1};
    constexpr std::uint64_t Confirmed = 11;
    RaftCore follower({ReplicaId{1}, 1}, {}, Start, 7);
    VersionTracker tracker;
    for (TimePoint now = Start; now < Start + seconds(10); now += RaftHeartbeat) {
        AppendRequest heartbeat;
        heartbeat.term = Term{3};
        heartbeat.previousIndex = LogIndex{5}; // The leader sent this entry, but it was lost with a link.
        heartbeat.previousTerm = Term{3};
        heartbeat.commit = LogIndex{5};
        follower.handle(now, Leader, heartbeat);
        follower.tick(now);
        CHECK(follower.inContact(now));
        CHECK(follower.commitIndex() == LogIndex{0});
        CHECK_FALSE(follower.caughtUp(now));
        tracker.observeInForce({Confirmed, 0});
        CHECK_FALSE(tracker.isNewest(follower.inContact(now), {5, 0}));
    }
}

TEST_CASE("a restarted replica does not confirm its routing table before it has reached the commit index of its leader")
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
    heartbeat.commit = LogIndex{value(held) + 1}; // The entry itself has not arrived yet.
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

// SPDX-License-Identifier: MIT
// Membership: targets by announcements, peers by heartbeats, and the assignment of slots.
#include "peer_table.h"
#include "slot_policy.h"
#include "target_choice.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>

using namespace Robinrail;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint Start{seconds(1000)};

Announcement announcementOf(std::uint32_t id, std::uint64_t incarnation, std::uint64_t sequence)
{
    Announcement announcement;
    announcement.target = TargetId{id};
    announcement.service = ServiceId{1};
    announcement.dataCentre = DataCentreId{static_cast<std::uint8_t>(id % 3 + 1)};
    announcement.incarnation = Incarnation{incarnation};
    announcement.sequence = sequence;
    announcement.slots = 3;
    announcement.connections = 2000;
    return announcement;
}

Heartbeat heartbeatOf(std::uint16_t id, std::uint64_t incarnation, std::uint64_t counter)
{
    Heartbeat heartbeat;
    heartbeat.sender = {BalancerId{id}, Incarnation{incarnation}};
    heartbeat.counter = counter;
    return heartbeat;
}

} // namespace

TEST_CASE("a target is lost when its lease expires, and stale announcements can't revive it")
{
    TargetTable table;
    CHECK(table.announce(Start, announcementOf(1, 1, 5)) == AnnouncementEffect::Joined);
    CHECK(table.announce(Start, announcementOf(1, 1, 5)) == AnnouncementEffect::Stale);
    CHECK(table.announce(Start, announcementOf(1, 1, 4)) == AnnouncementEffect::Stale);
    CHECK(table.announce(Start + seconds(1), announcementOf(1, 1, 6)) == AnnouncementEffect::Renewed);
    CHECK_FALSE(table.expire(Start + TargetLease));
    CHECK(table.expire(Start + TargetLease + seconds(1)));
    CHECK(table.find(TargetId{1})->state == TargetState::Lost);
    CHECK_FALSE(table.renew(Start + seconds(9), {TargetId{1}, 1, 7, 0}));
    CHECK(table.announce(Start + TargetLease + seconds(1), announcementOf(1, 1, 8), TargetLease) == AnnouncementEffect::Stale);
    CHECK(table.announce(Start + TargetLease + seconds(1), announcementOf(1, 1, 8)) == AnnouncementEffect::Joined);
}

TEST_CASE("a gossiped renewal extends the lease only from the time when the target was heard")
{
    TargetTable table;
    table.announce(Start, announcementOf(1, 1, 1));
    CHECK(table.renew(Start + seconds(6), {TargetId{1}, 1, 2, 5000}));
    CHECK_FALSE(table.expire(Start + TargetLease));
    CHECK(table.expire(Start + TargetLease + seconds(1)));
}

TEST_CASE("targets are found by id and by service, and keep their service")
{
    TargetTable table;
    for (std::uint32_t id = 9; id >= 1; --id) {
        Announcement announcement = announcementOf(id, 1, 1);
        announcement.service = ServiceId{static_cast<std::uint16_t>(id % 3 + 1)};
        table.announce(Start, announcement);
    }
    CHECK(table.targetsOf(ServiceId{2}).size() == 3);
    CHECK(table.targetsOf(ServiceId{9}).empty());
    for (std::uint32_t id = 1; id <= 9; ++id) {
        CHECK(table.find(TargetId{id})->id() == TargetId{id});
    }
    CHECK(table.announce(Start, announcementOf(1, 2, 1)) == AnnouncementEffect::Stale);
    table.expire(Start + TargetLease);
    table.expire(Start + TombstoneTime);
    CHECK(table.find(TargetId{1}) == nullptr);
    CHECK(table.announce(Start + TombstoneTime, announcementOf(1, 2, 1)) == AnnouncementEffect::Joined);
}

TEST_CASE("draining is final within an incarnation, at any sequence")
{
    TargetTable table;
    table.announce(Start, announcementOf(1, 1, 10));
    Announcement drain = announcementOf(1, 1, 9);
    drain.draining = true;
    CHECK(table.announce(Start, drain) == AnnouncementEffect::Drained);
    CHECK(table.announce(Start, announcementOf(1, 1, 11)) == AnnouncementEffect::Renewed);
    CHECK(table.find(TargetId{1})->state == TargetState::Draining);
    CHECK(table.announce(Start, announcementOf(1, 2, 1)) == AnnouncementEffect::Joined);
}

TEST_CASE("usable slots grow during slow start, and a balancer that joins late learns when it is over")
{
    TargetTable table;
    table.announce(Start, announcementOf(1, 1, 1));
    const Target &target = *table.find(TargetId{1});
    CHECK(usableSlots(target, Start) == 1);
    CHECK(usableSlots(target, Start + SlowStartTime * 3 / 4) == 2);
    CHECK(usableSlots(target, Start + SlowStartTime) == 3);
    table.announce(Start, announcementOf(1, 1, 1), Duration(0), seconds(60));
    CHECK(usableSlots(target, Start) == 3);
}

TEST_CASE("consecutive refusals lengthen the back-off of a target, and an unresponsive one gets one attempt at a time")
{
    TargetTable table;
    table.announce(Start, announcementOf(1, 1, 1));
    Target &target = *table.find(TargetId{1});
    recordRefusal(target, Start);
    CHECK_FALSE(acceptsAttempt(target, Start));
    CHECK(acceptsAttempt(target, Start + RefusalBackoff));
    recordRefusal(target, Start);
    CHECK_FALSE(acceptsAttempt(target, Start + RefusalBackoff));
    recordAnswer(target);
    for (int i = 0; i < UnansweredAttemptLimit; ++i) {
        recordNoAnswer(target);
    }
    target.running = 1;
    CHECK_FALSE(acceptsAttempt(target, Start + seconds(1)));
    target.running = 0;
    CHECK(acceptsAttempt(target, Start + seconds(1)));
}

TEST_CASE("peers are alive, suspected, recovered, and replaced by a new incarnation")
{
    const PeerAddress addresses[] = {{BalancerId{1}, {}}, {BalancerId{2}, {}}, {BalancerId{3}, {}}};
    PeerTable peers({BalancerId{1}, Incarnation{1}}, DataCentreId{1}, addresses);
    const BalancerKey second{BalancerId{2}, Incarnation{4}};
    CHECK_FALSE(peers.resolve(second));
    CHECK(peers.heartbeat(Start, heartbeatOf(2, 4, 1)) == HeartbeatEffect::Joined);
    CHECK(peers.heartbeat(Start, heartbeatOf(2, 4, 1)) == HeartbeatEffect::Stale);
    CHECK(peers.heartbeat(Start, heartbeatOf(9, 4, 1)) == HeartbeatEffect::Stale);
    CHECK(peers.resolve(second) == second);
    CHECK(peers.expire(Start + PeerTimeout).size() == 1);
    CHECK_FALSE(peers.resolve(second));
    CHECK(peers.heartbeat(Start + PeerTimeout, heartbeatOf(2, 4, 2)) == HeartbeatEffect::Joined);
    CHECK(peers.resolve(second) == second);
    CHECK(peers.heartbeat(Start + PeerTimeout, heartbeatOf(2, 5, 1)) == HeartbeatEffect::Joined);
    CHECK_FALSE(peers.resolve(second));
    CHECK(peers.heartbeat(Start + PeerTimeout, heartbeatOf(2, 4, 9)) == HeartbeatEffect::Stale);
}

TEST_CASE("redirects are followed over several stopped owners, and a loop of them resolves to no owner")
{
    const PeerAddress addresses[] = {{BalancerId{1}, {}}, {BalancerId{2}, {}}, {BalancerId{3}, {}}};
    PeerTable peers({BalancerId{1}, Incarnation{1}}, DataCentreId{1}, addresses);
    const BalancerKey second{BalancerId{2}, Incarnation{1}};
    const BalancerKey third{BalancerId{3}, Incarnation{1}};
    peers.redirect(second, third);
    CHECK_FALSE(peers.resolve(second));
    peers.redirect(third, peers.self());
    CHECK(peers.resolve(second) == peers.self());
    const BalancerKey other{BalancerId{2}, Incarnation{7}};
    const BalancerKey another{BalancerId{3}, Incarnation{7}};
    peers.redirect(other, another);
    peers.redirect(another, other);
    CHECK_FALSE(peers.resolve(other));
}

TEST_CASE("with equal views, every slot is assigned to exactly one balancer, evenly")
{
    std::map<std::uint32_t, int> assigned;
    std::map<int, std::vector<int>> ownByDataCentre;
    for (std::uint16_t self = 1; self <= 8; ++self) {
        TargetTable table;
        for (std::uint32_t id = 1; id <= 14; ++id) {
            table.announce(Start, announcementOf(id, 1, 1), Duration(0), SlowStartTime);
        }
        std::vector<Target *> targets;
        for (Target &target : table.targets()) {
            targets.push_back(&target);
        }
        std::vector<PeerTable::Member> members;
        for (std::uint16_t id = 1; id <= 8; ++id) {
            members.push_back({BalancerId{id}, DataCentreId{static_cast<std::uint8_t>((id - 1) % 3 + 1)}});
        }
        PartitionedSlots::assignSlots(targets, members, BalancerId{self}, Start);
        int own = 0;
        for (const Target *target : targets) {
            assigned[value(target->id())] += target->assignedSlots;
            own += target->assignedSlots;
        }
        ownByDataCentre[(self - 1) % 3].push_back(own);
    }
    for (const auto &[id, count] : assigned) {
        CHECK(count == 3);
    }
    for (const auto &[dataCentre, own] : ownByDataCentre) {
        const auto [least, most] = std::minmax_element(own.begin(), own.end());
        CHECK(*most - *least <= 1);
    }
}

TEST_CASE("feeds are spread within the load bound, and none is bound to a draining target")
{
    TargetTable table;
    for (std::uint32_t id = 1; id <= 14; ++id) {
        table.announce(Start, announcementOf(id, 1, 1), Duration(0), SlowStartTime);
    }
    constexpr int FeedCount = 1400;
    std::vector<TargetId> bound;
    for (std::uint64_t flow = 1; flow <= FeedCount; ++flow) {
        Target *target = chooseFeedTarget(table.targets(), ServiceId{1}, FlowId{flow * 7919}, 8, std::nullopt, Start);
        REQUIRE(target != nullptr);
        ++target->feeds;
        bound.push_back(target->id());
    }
    for (const Target &target : table.targets()) {
        CHECK(target.feeds <= FeedCount / 14 * 1.3);
    }
    Target &leaving = *table.find(TargetId{3});
    leaving.state = TargetState::Draining;
    for (const TargetId id : bound) {
        Target *target = chooseFeedTarget(table.targets(), ServiceId{1}, FlowId{1}, 8, std::nullopt, Start);
        CHECK(target->id() != leaving.id());
        if (id == leaving.id()) {
            ++target->feeds;
        }
    }
}

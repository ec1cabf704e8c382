// SPDX-License-Identifier: MIT
// Target leases: a replica's leases on targets, sent as differences and renewed by heartbeats.
#include "node_message.h"
#include "target_directory.h"
#include "target_leases.h"

#include <doctest/doctest.h>
#include <pcg_random.hpp>

using namespace Robinrail;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint Start(std::chrono::hours(1));
constexpr Duration Interval = milliseconds(770);
constexpr Duration LeaseDuration = Interval * 3 / 2;
constexpr Duration HeartbeatInterval = milliseconds(500);
constexpr Duration SilenceLimit = 2 * Interval + milliseconds(1200);
constexpr std::uint64_t OnlyLink = 4;

TargetRecord targetOf(std::uint64_t key)
{
    TargetRecord record;
    record.key = TargetKey{key};
    record.service = "quotes";
    record.address = {0x0a000000U + static_cast<std::uint32_t>(key), 8080};
    record.sequence = 1;
    return record;
}

} // namespace

TEST_CASE("a replica sends each lease once when it is added and once when it expires")
{
    LocalTargetLeases leases(LeaseDuration);
    leases.renew(Start, TargetKey{1});
    leases.renew(Start, TargetKey{2});
    CHECK(leases.snapshot().added.empty()); // Not sent yet; the next heartbeat adds them on all links.
    CHECK(leases.takeChanges(Start).added == std::vector{TargetKey{1}, TargetKey{2}});
    leases.renew(Start + Interval, TargetKey{1});
    const TargetLeaseUpdate unchanged = leases.takeChanges(Start + LeaseDuration - milliseconds(1));
    CHECK(unchanged.added.empty());
    CHECK(unchanged.expired.empty());
    const TargetLeaseUpdate late = leases.takeChanges(Start + LeaseDuration);
    REQUIRE(late.expired.size() == 1);
    CHECK(late.expired[0].key == TargetKey{2});
    CHECK(late.expired[0].age == LeaseDuration);
    CHECK(leases.snapshot().added == std::vector{TargetKey{1}});
    CHECK(leases.holdsLease(TargetKey{1}));
    CHECK_FALSE(leases.holdsLease(TargetKey{2}));
    leases.renew(Start + LeaseDuration, TargetKey{2});
    CHECK(leases.takeChanges(Start + LeaseDuration).added == std::vector{TargetKey{2}});
}

TEST_CASE("a lease that is added and expires between two heartbeats is never sent")
{
    LocalTargetLeases leases(LeaseDuration);
    leases.renew(Start, TargetKey{1});
    const TargetLeaseUpdate heartbeat = leases.takeChanges(Start + LeaseDuration);
    CHECK(heartbeat.added.empty());
    CHECK(heartbeat.expired.empty());
}

TEST_CASE("a heartbeat renews all leases of its link, and a lost link ends them")
{
    PeerTargetLeases peerLeases;
    peerLeases.apply(1, {{TargetKey{5}, TargetKey{3}}, {}});
    CHECK(peerLeases.apply(1, {}).size() == 2);
    CHECK(peerLeases.apply(2, {{TargetKey{3}}, {}}).size() == 1);
    CHECK(peerLeases.apply(1, {{TargetKey{3}}, {}}).size() == 2);
    CHECK(peerLeases.apply(1, {{}, {{TargetKey{3}, LeaseDuration}, {TargetKey{9}, LeaseDuration}}}).size() == 1);
    CHECK(peerLeases.holdsLease(TargetKey{3})); // The other replica still holds a lease.
    peerLeases.closed(2);
    CHECK_FALSE(peerLeases.holdsLease(TargetKey{3}));
    CHECK(peerLeases.holdsLease(TargetKey{5}));
}

// With thousands of targets and no changes, the cost of heartbeats must not grow with the number of targets.
TEST_CASE("a heartbeat without changes has the same size for a thousand targets as for ten")
{
    const auto heartbeatBytes = [](std::uint64_t targets) {
        LocalTargetLeases leases(LeaseDuration);
        const auto announce = [&](TimePoint now) {
            for (std::uint64_t key = 1; key <= targets; ++key) {
                leases.renew(now, TargetKey{key << 24U});
            }
        };
        announce(Start);
        leases.takeChanges(Start);
        announce(Start + Interval);
        return encodeMessage(NodeMessage(leases.takeChanges(Start + Interval))).size();
    };
    CHECK(heartbeatBytes(10) == heartbeatBytes(1000));
}

TEST_CASE("a silent target is detected through leases as soon as through its own announcements, and a live one never is")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        pcg64 random(seed);
        constexpr std::uint64_t Targets = 40;
        TargetDirectory directory(Interval, SilenceLimit);
        LocalTargetLeases leases(LeaseDuration);
        PeerTargetLeases peerLeases;
        std::vector<TimePoint> due(Targets);
        std::vector<TimePoint> last(Targets, Start);
        std::vector<TimePoint> ends(Targets, TimePoint::max());
        for (std::uint64_t i = 0; i < Targets; ++i) {
            directory.apply(Start, {targetOf(i + 1), false, Duration{0}, Duration{0}});
            due[i] = Start + milliseconds(random() % 770);
            if (i % 2 == 0) {
                ends[i] = Start + seconds(2) + milliseconds(random() % 3000);
            }
        }
        TimePoint nextHeartbeat = Start;
        std::map<std::uint64_t, TimePoint> found;
        for (TimePoint now = Start; now < Start + seconds(12); now += milliseconds(5)) {
            for (std::uint64_t i = 0; i < Targets; ++i) {
                if (now >= due[i] && now < ends[i]) {
                    leases.renew(now, TargetKey{i + 1});
                    last[i] = now;
                    due[i] = now + Interval + milliseconds(random() % 40);
                }
            }
            if (now >= nextHeartbeat) {
                nextHeartbeat = now + HeartbeatInterval;
                const TargetLeaseUpdate heartbeat = leases.takeChanges(now);
                directory.renew(now, peerLeases.apply(OnlyLink, heartbeat));
                for (const ExpiredLease &expired : heartbeat.expired) {
                    directory.leaseExpired(now, expired);
                }
                for (const TargetStatus &silent : directory.tick(now)) {
                    found.emplace(value(silent.record.key) - 1, now);
                }
            }
        }
        for (std::uint64_t i = 0; i < Targets; ++i) {
            CHECK(found.contains(i) == (i % 2 == 0));
            if (found.contains(i)) {
                CHECK(found[i] - last[i] >= SilenceLimit);
                CHECK(found[i] - last[i] < SilenceLimit + HeartbeatInterval);
            }
        }
    }
}

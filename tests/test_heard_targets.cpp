// SPDX-License-Identifier: MIT
// Heard targets: a replica's word on the targets that it hears, told by differences and renewed by beats.
#include "heard_targets.h"
#include "node_message.h"
#include "target_directory.h"

#include <doctest/doctest.h>
#include <pcg_random.hpp>

using namespace Robinrail;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint Start(std::chrono::hours(1));
constexpr Duration Interval = milliseconds(770);
constexpr Duration Lease = Interval * 3 / 2;
constexpr Duration Beat = milliseconds(500);
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

TEST_CASE("a replica names each target that it hears once, and once that it was missed")
{
    LocalTargetLeases here(Lease);
    here.heard(Start, TargetKey{1});
    here.heard(Start, TargetKey{2});
    CHECK(here.whole().heard.empty()); // Nothing was told yet; the next beat names them on all links.
    CHECK(here.changes(Start).heard == std::vector{TargetKey{1}, TargetKey{2}});
    here.heard(Start + Interval, TargetKey{1});
    const TargetLeaseUpdate calm = here.changes(Start + Lease - milliseconds(1));
    CHECK(calm.heard.empty());
    CHECK(calm.missed.empty());
    const TargetLeaseUpdate late = here.changes(Start + Lease);
    REQUIRE(late.missed.size() == 1);
    CHECK(late.missed[0].key == TargetKey{2});
    CHECK(late.missed[0].age == Lease);
    CHECK(here.whole().heard == std::vector{TargetKey{1}});
    CHECK(here.holdsLease(TargetKey{1}));
    CHECK_FALSE(here.holdsLease(TargetKey{2}));
    here.heard(Start + Lease, TargetKey{2});
    CHECK(here.changes(Start + Lease).heard == std::vector{TargetKey{2}});
}

TEST_CASE("a target that came and went between two beats is never named")
{
    LocalTargetLeases here(Lease);
    here.heard(Start, TargetKey{1});
    const TargetLeaseUpdate beat = here.changes(Start + Lease);
    CHECK(beat.heard.empty());
    CHECK(beat.missed.empty());
}

TEST_CASE("a beat renews all that was named on its link, and a lost link ends that word")
{
    PeerTargetLeases elsewhere;
    elsewhere.take(1, {{TargetKey{5}, TargetKey{3}}, {}});
    CHECK(elsewhere.take(1, {}).size() == 2);
    CHECK(elsewhere.take(2, {{TargetKey{3}}, {}}).size() == 1);
    CHECK(elsewhere.take(1, {{TargetKey{3}}, {}}).size() == 2);
    CHECK(elsewhere.take(1, {{}, {{TargetKey{3}, Lease}, {TargetKey{9}, Lease}}}).size() == 1);
    CHECK(elsewhere.holdsLease(TargetKey{3})); // The other replica still hears it.
    elsewhere.closed(2);
    CHECK_FALSE(elsewhere.holdsLease(TargetKey{3}));
    CHECK(elsewhere.holdsLease(TargetKey{5}));
}

// Thousands of targets announce themselves at one of many replicas, and nothing happens.
TEST_CASE("a calm beat costs as much for a thousand targets as for ten")
{
    const auto beatBytes = [](std::uint64_t targets) {
        LocalTargetLeases here(Lease);
        const auto announce = [&](TimePoint now) {
            for (std::uint64_t key = 1; key <= targets; ++key) {
                here.heard(now, TargetKey{key << 24U});
            }
        };
        announce(Start);
        here.changes(Start);
        announce(Start + Interval);
        return encodeMessage(NodeMessage(here.changes(Start + Interval))).size();
    };
    CHECK(beatBytes(10) == beatBytes(1000));
}

TEST_CASE("a silent target is found elsewhere as soon as by its own announcements, and a living one never is")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        pcg64 random(seed);
        constexpr std::uint64_t Targets = 40;
        TargetDirectory directory(Interval, SilenceLimit);
        LocalTargetLeases here(Lease);
        PeerTargetLeases elsewhere;
        std::vector<TimePoint> due(Targets);
        std::vector<TimePoint> last(Targets, Start);
        std::vector<TimePoint> ends(Targets, TimePoint::max());
        for (std::uint64_t i = 0; i < Targets; ++i) {
            directory.take(Start, {targetOf(i + 1), false, Duration{0}, Duration{0}});
            due[i] = Start + milliseconds(random() % 770);
            if (i % 2 == 0) {
                ends[i] = Start + seconds(2) + milliseconds(random() % 3000);
            }
        }
        TimePoint nextBeat = Start;
        std::map<std::uint64_t, TimePoint> found;
        for (TimePoint now = Start; now < Start + seconds(12); now += milliseconds(5)) {
            for (std::uint64_t i = 0; i < Targets; ++i) {
                if (now >= due[i] && now < ends[i]) {
                    here.heard(now, TargetKey{i + 1});
                    last[i] = now;
                    due[i] = now + Interval + milliseconds(random() % 40);
                }
            }
            if (now >= nextBeat) {
                nextBeat = now + Beat;
                const TargetLeaseUpdate beat = here.changes(now);
                directory.heard(now, elsewhere.take(OnlyLink, beat));
                for (const ExpiredLease &missed : beat.missed) {
                    directory.missed(now, missed);
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
                CHECK(found[i] - last[i] < SilenceLimit + Beat);
            }
        }
    }
}

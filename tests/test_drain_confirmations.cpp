// SPDX-License-Identifier: MIT
// Drain confirmations: when a drain is confirmed, and how its changes are sent to other replicas.
#include "change_batch.h"
#include "drain_confirmations.h"

#include <doctest/doctest.h>

#include <utility>
#include <vector>

using namespace Robinrail;
using std::chrono::milliseconds;

namespace {

constexpr ReplicaLocation Self{ReplicaId{10}, DataCentreId{1}};
constexpr ReplicaLocation FirstPlace{ReplicaId{11}, DataCentreId{1}};
constexpr ReplicaLocation SecondPlace{ReplicaId{12}, DataCentreId{2}};
const TimePoint Start(std::chrono::hours(1));

} // namespace

TEST_CASE("a drain is confirmed by enough different replicas, or fails after the timeout")
{
    constexpr TargetLifetime Fifth{TargetKey{5}};
    DrainConfirmations drains({2, 0}, Self);
    std::vector<bool> answers;
    const auto note = [&answers](bool confirmed) {
        answers.push_back(confirmed);
    };
    drains.await(Start, Fifth, TargetPhase::Draining, note);
    drains.receipt(FirstPlace, Fifth, TargetPhase::Draining);
    drains.receipt(FirstPlace, Fifth, TargetPhase::Draining);
    drains.receipt(SecondPlace, Fifth, TargetPhase::Serving);
    drains.receipt(SecondPlace, TargetLifetime{TargetKey{6}}, TargetPhase::Draining);
    CHECK(answers.empty());
    drains.receipt(SecondPlace, Fifth, TargetPhase::Left);
    CHECK(answers == std::vector<bool>{true});
    drains.await(Start, Fifth, TargetPhase::Left, note);
    CHECK(drains.expire(Start + DrainAnswerTimeout - milliseconds(1)) == 0);
    CHECK(drains.expire(Start + DrainAnswerTimeout) == 1);
    CHECK(answers == std::vector<bool>{true, false});
    DrainConfirmations alone({0, 0}, Self);
    alone.await(Start, Fifth, TargetPhase::Left, note);
    CHECK(answers.size() == 3);
}

TEST_CASE("a drain is not confirmed by replicas of one data centre alone, because they fail together")
{
    constexpr TargetLifetime Fifth{TargetKey{5}};
    DrainConfirmations drains({2, 1}, Self);
    bool confirmed = false;
    drains.await(Start, Fifth, TargetPhase::Draining, [&confirmed](bool taken) {
        confirmed = taken;
    });
    for (std::uint32_t replica = 1; replica <= 4; ++replica) {
        drains.receipt({ReplicaId{replica}, Self.dataCentre}, Fifth, TargetPhase::Draining);
    }
    CHECK_FALSE(confirmed);
    drains.receipt({ReplicaId{5}, DataCentreId{2}}, Fifth, TargetPhase::Draining);
    CHECK(confirmed);
}

TEST_CASE("a confirmed drain needs no further receipts, but the lifetime's end and a later lifetime do")
{
    constexpr TargetLifetime Fifth{TargetKey{5}, 1};
    constexpr TargetLifetime Later{TargetKey{5}, 2};
    DrainConfirmations drains({1, 0}, Self);
    CHECK_FALSE(drains.confirmed(Fifth, TargetPhase::Draining));
    drains.await(Start, Fifth, TargetPhase::Draining, [](bool) {});
    CHECK_FALSE(drains.confirmed(Fifth, TargetPhase::Draining));
    drains.receipt(FirstPlace, Fifth, TargetPhase::Draining);
    CHECK(drains.confirmed(Fifth, TargetPhase::Draining));
    CHECK_FALSE(drains.confirmed(Fifth, TargetPhase::Left));
    CHECK_FALSE(drains.confirmed(Later, TargetPhase::Draining));
    drains.await(Start, Fifth, TargetPhase::Left, [](bool) {});
    drains.receipt(FirstPlace, Fifth, TargetPhase::Left);
    CHECK(drains.confirmed(Fifth, TargetPhase::Draining));
    drains.forget(TargetKey{5});
    CHECK_FALSE(drains.confirmed(Fifth, TargetPhase::Draining));
    CHECK(DrainConfirmations({0, 0}, Self).confirmed(Later, TargetPhase::Left));
}

TEST_CASE("receipts of a former lifetime's drain do not confirm that of a later one")
{
    DrainConfirmations drains({1, 0}, Self);
    bool confirmed = false;
    drains.await(Start, {TargetKey{5}, 2'000}, TargetPhase::Draining, [&confirmed](bool taken) {
        confirmed = taken;
    });
    drains.receipt(FirstPlace, {TargetKey{5}, 1'000}, TargetPhase::Left);
    CHECK_FALSE(confirmed);
    drains.receipt(FirstPlace, {TargetKey{5}, 2'000}, TargetPhase::Draining);
    CHECK(confirmed);
}

TEST_CASE("the first change after a pause is sent immediately, and those that follow are sent together")
{
    ChangeBatch batch;
    CHECK(batch.take(Start).empty());
    batch.add(TargetKey{1});
    CHECK(batch.take(Start) == std::vector{TargetKey{1}});
    batch.add(TargetKey{2});
    batch.add(TargetKey{3});
    batch.add(TargetKey{2});
    CHECK(batch.take(Start + ChangeBatchInterval - milliseconds(1)).empty());
    CHECK(batch.take(Start + ChangeBatchInterval) == std::vector{TargetKey{2}, TargetKey{3}});
    CHECK(batch.take(Start + 2 * ChangeBatchInterval).empty());
}

// A release drains hundreds of targets, each of which repeats its drain with every announcement until it ends.
TEST_CASE("messages to other replicas during a release depend on its duration, not on the number of targets or announcements")
{
    const auto messagesFor = [](std::uint64_t targets) {
        constexpr int Announcements = 8;
        constexpr Duration Interval = milliseconds(770);
        DrainConfirmations drains({2, 0}, Self);
        ChangeBatch batch;
        std::size_t messages = 0;
        std::size_t answered = 0;
        std::vector<TargetKey> sent;
        for (TimePoint now = Start; now < Start + Interval * Announcements; now += milliseconds(1)) {
            const auto tick = static_cast<std::uint64_t>((now - Start).count() / 1000);
            for (std::uint64_t key = 1; key <= targets; ++key) {
                if (tick % 770 != key % 770) {
                    continue;
                }
                const TargetLifetime lifetime{TargetKey{key}, 1};
                if (drains.confirmed(lifetime, TargetPhase::Draining)) {
                    ++answered;
                    continue;
                }
                batch.add(lifetime.key);
                drains.await(now, lifetime, TargetPhase::Draining, [&answered](bool taken) {
                    answered += taken ? 1 : 0;
                });
            }
            for (const TargetKey key : std::exchange(sent, batch.take(now))) {
                drains.receipt(FirstPlace, {key, 1}, TargetPhase::Draining);
                drains.receipt(SecondPlace, {key, 1}, TargetPhase::Draining);
            }
            messages += sent.empty() ? 0 : 1;
        }
        CHECK(answered == targets * Announcements);
        return messages;
    };
    const std::size_t few = messagesFor(200);
    const std::size_t many = messagesFor(1600);
    CHECK(few <= 770 / 25 + 2);
    CHECK(many <= 770 / 25 + 2);
}

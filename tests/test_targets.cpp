// SPDX-License-Identifier: MIT
// Targets: the replicas' target directory, confirmed drains, and the ordering of versions.
#include "change_batch.h"
#include "drain_confirmations.h"
#include "routing_state.h"
#include "target_directory.h"

#include <doctest/doctest.h>

#include <array>

#include <limits>

using namespace Robinrail;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr ReplicaLocation Self{ReplicaId{10}, DataCentreId{1}};
constexpr ReplicaLocation FirstPlace{ReplicaId{11}, DataCentreId{1}};
constexpr ReplicaLocation SecondPlace{ReplicaId{12}, DataCentreId{2}};
const TimePoint Start(std::chrono::hours(1));

TargetRecord targetOf(std::uint64_t key, const std::string &service)
{
    TargetRecord record;
    record.key = TargetKey{key};
    record.service = service;
    record.address = {static_cast<std::uint32_t>(key), 8080};
    record.slots = 2;
    record.sequence = 1;
    return record;
}

RoutingTable tableOf(std::uint64_t version)
{
    RoutingTable table;
    table.version = version;
    table.services = {"quotes"};
    table.routes = {{{0xc6120001, 443}, {{0, 1}}}};
    return table;
}

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

TEST_CASE("a target that takes over an address ends the silent one there, and no other")
{
    TargetDirectory directory(seconds(1), seconds(3));
    TargetRecord crashed = targetOf(5, "quotes");
    TargetRecord successor = targetOf(6, "decks");
    successor.address = crashed.address;
    directory.announce(Start, crashed);
    const std::vector<TargetStatus> changes = directory.announce(Start + seconds(2), successor);
    REQUIRE(changes.size() == 2);
    CHECK(changes[0].record.key == TargetKey{5});
    CHECK(changes[0].record.phase == TargetPhase::Left);
    // A delayed announcement of the crashed target ends no other target, and neither does that of a new one.
    crashed.sequence = 7;
    CHECK(directory.announce(Start + seconds(3), crashed).empty());
    TargetRecord late = targetOf(4, "quotes");
    late.address = crashed.address;
    CHECK(directory.announce(Start + seconds(3), late).size() == 1);
    CHECK(directory.find(TargetKey{6})->phase == TargetPhase::Serving);
}

TEST_CASE("a target that restarts immediately ends its former lifetime as soon as that one is overdue")
{
    TargetDirectory directory(seconds(1), seconds(3));
    TargetRecord crashed = targetOf(5, "quotes");
    TargetRecord restarted = targetOf(6, "quotes");
    restarted.address = crashed.address;
    directory.announce(Start, crashed);
    // The former lifetime announced itself recently, so it is not overdue yet.
    CHECK(directory.announce(Start + milliseconds(500), restarted).size() == 1);
    CHECK(directory.find(TargetKey{5})->phase == TargetPhase::Serving);
    restarted.sequence = 2;
    CHECK(directory.announce(Start + seconds(1), restarted).empty());
    restarted.sequence = 3;
    const std::vector<TargetStatus> changes = directory.announce(Start + seconds(2), restarted);
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].record.key == TargetKey{5});
    CHECK(changes[0].record.phase == TargetPhase::Left);
    // A delayed announcement of the ended lifetime ends no other, even one that is silent at the address.
    crashed.sequence = 9;
    CHECK(directory.announce(Start + seconds(5), crashed).empty());
    CHECK(directory.find(TargetKey{6})->phase == TargetPhase::Serving);
}

// A network partition delays announcements, their sender crashes, its address is reused, and the partition heals. The order
// in which the announcements then arrive is arbitrary.
TEST_CASE("a delayed announcement ends no successor, whether its lifetime was known or not")
{
    TargetRecord crashed = targetOf(5, "quotes");
    TargetRecord successor = targetOf(6, "decks");
    successor.address = crashed.address;
    for (const bool known : {true, false}) {
        CAPTURE(known);
        TargetDirectory directory(seconds(1), seconds(3));
        if (known) {
            crashed.sequence = 30;
            directory.announce(Start, crashed);
        }
        // The successor announces itself at another replica, and its last status here is old.
        successor.sequence = 1;
        directory.apply(Start + seconds(1), {successor, false, Duration{0}, Duration{0}});
        for (const std::uint64_t sequence : {31, 32}) {
            crashed.sequence = sequence;
            for (const TargetStatus &change : directory.announce(Start + seconds(4) + milliseconds(sequence), crashed)) {
                CHECK(change.record.key == crashed.key);
            }
        }
        CHECK(directory.find(successor.key)->phase == TargetPhase::Serving);
        // The successor ends the older lifetime once that one is overdue again.
        successor.sequence = 7;
        CHECK(directory.announce(Start + seconds(7), successor).size() == 1);
        CHECK(directory.find(crashed.key)->phase == TargetPhase::Left);
        CHECK(directory.find(successor.key)->phase == TargetPhase::Serving);
    }
}

TEST_CASE("replicas that received two lifetimes at one address in different orders agree which one is older")
{
    TargetRecord older = targetOf(5, "quotes");
    TargetRecord younger = targetOf(6, "decks");
    younger.address = older.address;
    TargetDirectory informed(seconds(1), seconds(3));
    informed.announce(Start, older);
    younger.sequence = 1;
    informed.announce(Start + seconds(1), younger);
    // This replica has just lost its disk and hears the older lifetime last, by its delayed first announcement. The other
    // replica informs it when that lifetime was first heard.
    TargetDirectory wiped(seconds(1), seconds(3));
    wiped.announce(Start + seconds(1), younger);
    wiped.announce(Start + milliseconds(1100), older);
    for (const TargetStatus &status : informed.all(Start + milliseconds(1200))) {
        wiped.apply(Start + milliseconds(1200), status);
    }
    older.sequence = 3;
    CHECK(wiped.announce(Start + seconds(4), older).empty());
    CHECK(wiped.find(younger.key)->phase == TargetPhase::Serving);
    younger.sequence = 2;
    CHECK(wiped.announce(Start + seconds(7), younger).size() == 1);
    CHECK(wiped.find(older.key)->phase == TargetPhase::Left);
}

TEST_CASE("a sequence number of any size orders lifetimes and overflows nothing")
{
    TargetDirectory directory(seconds(1), seconds(3));
    TargetRecord record = targetOf(5, "quotes");
    record.sequence = std::numeric_limits<std::uint64_t>::max();
    CHECK(directory.announce(Start, record).size() == 1);
    TargetRecord other = targetOf(6, "quotes");
    other.address = record.address;
    other.sequence = 0;
    CHECK(directory.announce(Start + seconds(2), other).size() == 2);
    CHECK(directory.find(record.key)->phase == TargetPhase::Left);
}

TEST_CASE("a target that moves to another address ends no target at its former one")
{
    TargetDirectory directory(seconds(1), seconds(3));
    TargetRecord moving = targetOf(5, "quotes");
    directory.announce(Start, moving);
    const Endpoint former = moving.address;
    moving.address.port = 9090;
    moving.sequence = 2;
    CHECK(directory.announce(Start + seconds(1), moving).size() == 1);
    TargetRecord next = targetOf(6, "quotes");
    next.address = former;
    CHECK(directory.announce(Start + seconds(4), next).size() == 1);
    CHECK(directory.find(TargetKey{5})->phase == TargetPhase::Serving);
}

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

TEST_CASE("the highest version is applied under one ordering, and the expected base version under the other")
{
    CHECK(HighestVersion::evaluate(7, 0, 9) == VersionVerdict::Apply);
    CHECK(HighestVersion::evaluate(7, 7, 7) == VersionVerdict::Superseded);
    CHECK(HighestVersion::evaluate(7, 7, 3) == VersionVerdict::Superseded);
    CHECK(CompareAndSet::evaluate(7, 7, 8) == VersionVerdict::Apply);
    CHECK(CompareAndSet::evaluate(7, 6, 8) == VersionVerdict::Conflict);

    RoutingState state;
    RoutingDocument document{"second", tableOf(9)};
    CHECK(state.applyCommand(RoutingState::encodeChange(document)).verdict == VersionVerdict::Apply);
    document = {"older", tableOf(4)};
    CHECK(state.applyCommand(RoutingState::encodeChange(document)).currentVersion == 9);
    CHECK(state.document().text == "second");
    RoutingState restored;
    CHECK(restored.restore(state.serialize()));
    CHECK(restored.document().table == state.document().table);
}

TEST_CASE("data centre drain orders are applied in log order and survive a snapshot")
{
    RoutingState state;
    const DataCentreDrainOrder drain{"lalit", true};
    const DataCentreDrainOrder takeBack{"lalit", false};
    state.applyCommand(RoutingState::encodeChange(drain));
    state.applyCommand(RoutingState::encodeChange(DataCentreDrainOrder{"bhakta", true}));
    CHECK(state.drains().drained() == std::vector<std::string>{"bhakta", "lalit"});
    CHECK(state.drains().revision() == 2);
    // Repeating the order changes nothing, and neither does a document in between.
    CHECK(state.applyCommand(RoutingState::encodeChange(drain)).verdict == VersionVerdict::Superseded);
    state.applyCommand(RoutingState::encodeChange(RoutingDocument{"text", tableOf(9)}));
    CHECK(state.drains().revision() == 2);
    RoutingState restored;
    CHECK(restored.restore(state.serialize()));
    CHECK(restored.drains() == state.drains());
    CHECK(restored.document().table == state.document().table);
    state.applyCommand(RoutingState::encodeChange(takeBack));
    CHECK(state.drains().drained() == std::vector<std::string>{"bhakta"});
    CHECK(state.drains().revision() == 3);
    CHECK(state.applyCommand(RoutingState::encodeChange(takeBack)).verdict == VersionVerdict::Superseded);
}

TEST_CASE("snapshots and log entries of the release without drains are read")
{
    // A document "t" of version 9, idle time-out 15 s, one service "a" and its route 198.18.0.1:443, as that release wrote
    // it both in snapshots and in the log.
    constexpr std::array<std::uint8_t, 30> Earlier{0x82, 0x00, 0x82, 0x61, 0x74, 0x84, 0x09, 0x1a, 0x00, 0xe4, 0xe1, 0xc0, 0x81, 0x61, 0x61,
                                                   0x81, 0x82, 0x82, 0x1a, 0xc6, 0x12, 0x00, 0x01, 0x19, 0x01, 0xbb, 0x81, 0x82, 0x00, 0x01};
    const BytesView bytes(Earlier);
    RoutingState restored;
    REQUIRE(restored.restore(bytes));
    RoutingState applied;
    CHECK(applied.applyCommand(bytes).verdict == VersionVerdict::Apply);
    for (const RoutingState *state : {&restored, &applied}) {
        CHECK(state->document().text == "t");
        CHECK(state->document().table.version == 9);
        CHECK(state->document().table.idleTimeout == seconds(15));
        REQUIRE(state->document().table.routes.size() == 1);
        CHECK(state->document().table.routes[0].address == Endpoint{0xc6120001, 443});
        CHECK(state->drains().revision() == 0);
    }
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

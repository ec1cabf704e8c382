// SPDX-License-Identifier: MIT
// Directory: log, publisher and follower, by which balancers receive a replica's directory in pages.
#include "directory_follower.h"
#include "directory_publisher.h"

#include <doctest/doctest.h>

#include <deque>
#include <random>

using namespace Robinrail;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr ReplicaId Near{21};
constexpr ReplicaId Far{22};
constexpr DataCentreId Home{1};
constexpr std::uint64_t LogLife = 77;
constexpr FollowerId OnlyFollower = 5;
const TimePoint Start(std::chrono::hours(1));

TargetRecord targetOf(std::uint64_t key, std::uint64_t sequence = 1)
{
    TargetRecord record;
    record.key = TargetKey{key};
    record.service = key % 2 == 0 ? "quotes" : "decks";
    record.address = {0x0a000000U + static_cast<std::uint32_t>(key), 8080};
    record.dataCentre = Home;
    record.slots = 2;
    record.sequence = sequence;
    return record;
}

// Links whose messages are queued until the test takes them.
struct QueuedLinks {
    std::map<FollowerId, std::deque<Bytes>> queues;
    std::uint64_t bytes = 0;

    std::size_t buffered(FollowerId follower)
    {
        std::size_t waiting = 0;
        for (const Bytes &message : queues[follower]) {
            waiting += message.size();
        }
        return waiting;
    }

    void sendEncoded(FollowerId follower, const Bytes &message)
    {
        bytes += message.size();
        queues[follower].push_back(message);
    }

    std::optional<DirectoryPage> take(FollowerId follower)
    {
        if (queues[follower].empty()) {
            return std::nullopt;
        }
        const std::optional<NodeMessage> message = decodeMessage<NodeMessage>(queues[follower].front());
        queues[follower].pop_front();
        REQUIRE(message);
        return std::get<DirectoryPage>(*message);
    }
};

// A replica's directory and its publisher.
struct Replica {
    explicit Replica(std::uint64_t life = LogLife)
        : publisher(directory, life)
    {
    }

    void announce(TimePoint now, const TargetRecord &record)
    {
        for (const TargetStatus &status : directory.announce(now, record)) {
            publisher.changed(status.record.key);
        }
    }

    void tick(TimePoint now)
    {
        for (const TargetStatus &status : directory.tick(now)) {
            publisher.changed(status.record.key);
        }
        publisher.forget(directory.takeForgotten());
    }

    TargetDirectory directory{seconds(1), seconds(3)};
    DirectoryPublisher publisher;
};

// A balancer's side of one replica's directory.
struct Balancer {
    PageResult take(TimePoint now, const DirectoryPage &page, ReplicaId replica = Near)
    {
        return follower.apply(now, replica, page);
    }

    // Applies all queued pages and returns the last result.
    PageResult drain(TimePoint now, QueuedLinks &links, FollowerId id = OnlyFollower, ReplicaId replica = Near)
    {
        PageResult result = PageResult::Applied;
        while (const std::optional<DirectoryPage> page = links.take(id)) {
            result = take(now, *page, replica);
        }
        return result;
    }

    const SteeredTarget *find(std::uint64_t key)
    {
        return targets.find(SteeringTargets::tokenOf(TargetKey{key}));
    }

    bool reportedAlive(std::uint64_t key)
    {
        const SteeredTarget *target = find(key);
        return target != nullptr && targets.reportedAlive(*target);
    }

    SteeringTargets targets;
    DirectoryFollower follower{targets};
};

// Checks that a balancer holds each target of a directory with its phase and liveness.
void checkMatches(Balancer &balancer, const TargetDirectory &directory, TimePoint now)
{
    for (const TargetStatus &status : directory.all(now)) {
        const SteeredTarget *target = balancer.find(value(status.record.key));
        REQUIRE(target != nullptr);
        CHECK(target->record.phase == status.record.phase);
        CHECK(target->record.service == status.record.service);
        CHECK(target->record.address == status.record.address);
        CHECK(balancer.targets.reportedAlive(*target) == !status.silent);
    }
}

} // namespace

TEST_CASE("a log holds each target once, and returns the changes after any number")
{
    DirectoryLog log(LogLife);
    for (int round = 0; round < 50; ++round) {
        log.changed(TargetKey{1});
        log.changed(TargetKey{2});
    }
    log.changed(TargetKey{3});
    CHECK(log.newest() == 101);
    CHECK(log.after(0, 10).keys == std::vector<TargetKey>{TargetKey{1}, TargetKey{2}, TargetKey{3}});
    CHECK(log.after(100, 10).keys == std::vector<TargetKey>{TargetKey{3}});
    const DirectoryLogSlice first = log.after(0, 2);
    CHECK(first.keys.size() == 2);
    CHECK(log.after(first.upTo, 2).keys == std::vector<TargetKey>{TargetKey{3}});
    CHECK(log.after(101, 10).upTo == 101);
}

TEST_CASE("a log resumes only where it has all changes that were missed")
{
    DirectoryLog log(LogLife);
    log.changed(TargetKey{1});
    log.changed(TargetKey{2});
    log.changed(TargetKey{3});
    CHECK(log.resume(LogLife, 2) == 2);
    CHECK(log.resume(LogLife, 3) == 3);
    CHECK(log.resume(LogLife, 4) == 0); // Higher than any number so far.
    CHECK(log.resume(LogLife + 1, 2) == 0); // From another run of the log.
    log.forget(TargetKey{2});
    CHECK(log.resume(LogLife, 1) == 0); // It would never receive the end of target 2.
    CHECK(log.resume(LogLife, 2) == 2);
    log.forget(TargetKey{9});
    CHECK(log.resume(LogLife, 2) == 2);
}

TEST_CASE("a slow follower receives each target once, in pages that leave room on its link")
{
    constexpr std::uint64_t Targets = 3000;
    Replica replica;
    for (std::uint64_t key = 1; key <= Targets; ++key) {
        replica.announce(Start, targetOf(key));
    }
    QueuedLinks links;
    replica.publisher.follow(OnlyFollower, {});
    // The link is blocked while every target changes ten times.
    for (std::uint64_t round = 2; round < 12; ++round) {
        for (std::uint64_t key = 1; key <= Targets; ++key) {
            TargetRecord record = targetOf(key, round);
            record.slots = static_cast<std::uint32_t>(round);
            replica.announce(Start, record);
        }
        replica.publisher.publish(Start, true, links);
        CHECK(links.buffered(OnlyFollower) < MaxFollowerBacklog + 8192);
    }
    Balancer balancer;
    PageResult result = PageResult::Applied;
    TimePoint now = Start;
    while (result != PageResult::Completed) {
        now += milliseconds(50);
        result = balancer.drain(now, links);
        replica.publisher.publish(now, true, links);
    }
    checkMatches(balancer, replica.directory, now);
    // Less than 40 bytes per target, so that a link of 2 Mbit/s carries the whole directory in half a second.
    CHECK(links.bytes < 40 * Targets);
}

TEST_CASE("a follower whose link is blocked while a target ends and is removed receives the whole directory again")
{
    Replica replica;
    QueuedLinks links;
    Balancer balancer;
    for (std::uint64_t key = 1; key <= 3; ++key) {
        replica.announce(Start, targetOf(key));
    }
    replica.publisher.follow(OnlyFollower, {});
    replica.publisher.publish(Start, true, links);
    balancer.drain(Start, links);
    links.queues[OnlyFollower].push_back(Bytes(MaxFollowerBacklog));
    TargetRecord left = targetOf(2, 2);
    left.phase = TargetPhase::Left;
    replica.announce(Start + seconds(1), left);
    replica.publisher.publish(Start + seconds(1), true, links);
    const TimePoint late = Start + seconds(1) + LeftTargetRetention;
    replica.tick(late);
    links.queues[OnlyFollower].clear();
    replica.publisher.publish(late, true, links);
    CHECK(balancer.drain(late, links) == PageResult::Completed);
    CHECK_FALSE(balancer.reportedAlive(2));
}

TEST_CASE("pages are encoded once for all followers that start at the same time")
{
    Replica replica;
    for (std::uint64_t key = 1; key <= 1000; ++key) {
        replica.announce(Start, targetOf(key));
    }
    QueuedLinks links;
    for (FollowerId follower = 1; follower <= 60; ++follower) {
        replica.publisher.follow(follower, {});
    }
    replica.publisher.publish(Start, true, links);
    CHECK(links.queues[1] == links.queues[60]);
    replica.publisher.unfollow(60);
    CHECK(replica.publisher.followers() == 59);
}

TEST_CASE("a returning follower gets the difference from the same run of the log, and the whole directory from another run")
{
    Replica replica;
    for (std::uint64_t key = 1; key <= 500; ++key) {
        replica.announce(Start, targetOf(key));
    }
    QueuedLinks links;
    Balancer balancer;
    replica.publisher.follow(OnlyFollower, balancer.follower.request(Near));
    replica.publisher.publish(Start, true, links);
    CHECK(balancer.drain(Start, links) == PageResult::Completed);
    balancer.follower.lost(Near);
    TargetRecord drained = targetOf(7, 2);
    drained.phase = TargetPhase::Draining;
    replica.announce(Start + seconds(1), drained);
    // Only one target differs.
    links.bytes = 0;
    CHECK(replica.publisher.follow(6, balancer.follower.request(Near)));
    replica.publisher.publish(Start + seconds(1), true, links);
    CHECK(balancer.drain(Start + seconds(1), links, 6) == PageResult::Completed);
    CHECK(links.bytes < 100);
    checkMatches(balancer, replica.directory, Start + seconds(1));
    // The replica lost its disk and its memory; only one target has announced itself again.
    Replica restarted(LogLife + 1);
    restarted.announce(Start + seconds(2), targetOf(8, 3));
    CHECK_FALSE(restarted.publisher.follow(8, balancer.follower.request(Near)));
    restarted.publisher.publish(Start + seconds(2), true, links);
    CHECK(balancer.drain(Start + seconds(2), links, 8) == PageResult::Completed);
    CHECK(balancer.reportedAlive(8));
    CHECK_FALSE(balancer.reportedAlive(9));
    // A drain that the restarted replica does not know is not undone.
    CHECK(balancer.find(7)->record.phase == TargetPhase::Draining);
}

TEST_CASE("an interrupted transfer of the whole directory starts again")
{
    Replica replica;
    for (std::uint64_t key = 1; key <= 1000; ++key) {
        replica.announce(Start, targetOf(key));
    }
    QueuedLinks links;
    Balancer balancer;
    replica.publisher.follow(OnlyFollower, {});
    replica.publisher.publish(Start, true, links);
    balancer.take(Start, *links.take(OnlyFollower));
    CHECK(balancer.follower.request(Near).life == 0);
    balancer.follower.lost(Near);
    CHECK(balancer.follower.request(Near).life == 0);
}

TEST_CASE("a page that is out of sequence or inconsistent is rejected")
{
    Balancer balancer;
    DirectoryPage page{LogLife, 0, 4, true, false, {"quotes"}, {}};
    CHECK(balancer.take(Start, page) == PageResult::Applied);
    page.after = 4;
    page.upTo = 6;
    page.informed = true;
    CHECK(balancer.take(Start, page) == PageResult::Completed);
    CHECK(balancer.take(Start, page) == PageResult::Gap);
    CHECK(balancer.follower.request(Near).life == 0);
    page.after = 0;
    CHECK(balancer.take(Start, page) == PageResult::Completed);
    page.after = 6;
    page.life = LogLife + 1;
    CHECK(balancer.take(Start, page) == PageResult::Gap);
    page.upTo = 3;
    CHECK(balancer.take(Start, page) == PageResult::Malformed);
    page = {LogLife, 0, 4, true, true, {"quotes"}, {DirectoryPageEntry{}}};
    page.targets[0].service = 1;
    CHECK(balancer.take(Start, page) == PageResult::Malformed);
    page.life = 0;
    CHECK(balancer.take(Start, page) == PageResult::Malformed);
}

TEST_CASE("an older directory of another replica undoes no drain, and its liveness applies only once it is the source")
{
    Balancer balancer;
    Replica current;
    Replica stale(LogLife + 1);
    QueuedLinks links;
    for (std::uint64_t key = 1; key <= 10; ++key) {
        stale.announce(Start, targetOf(key));
        current.announce(Start, targetOf(key));
    }
    TargetRecord drained = targetOf(3, 5);
    drained.phase = TargetPhase::Draining;
    current.announce(Start, drained);
    current.publisher.follow(OnlyFollower, {});
    current.publisher.publish(Start, true, links);
    balancer.drain(Start, links);
    balancer.targets.setSource(Near);
    // All targets of the other replica are silent by now.
    stale.tick(Start + seconds(9));
    stale.publisher.follow(6, {});
    stale.publisher.publish(Start + seconds(9), true, links);
    balancer.drain(Start + seconds(9), links, 6, Far);
    CHECK(balancer.find(3)->record.phase == TargetPhase::Draining);
    CHECK(balancer.reportedAlive(4));
    balancer.targets.setSource(Far);
    CHECK_FALSE(balancer.reportedAlive(4));
    balancer.follower.forget(Near);
    CHECK(balancer.follower.request(Near).life == 0);
}

TEST_CASE("a follower converges with its directory through lost links, restarts, removals and slow links")
{
    constexpr int Runs = 60;
    constexpr int Steps = 400;
    constexpr std::uint64_t Places = 300;
    for (int run = 0; run < Runs; ++run) {
        std::mt19937 random(static_cast<std::uint32_t>(run));
        const auto randomBelow = [&random](std::uint64_t below) {
            return std::uniform_int_distribution<std::uint64_t>(0, below - 1)(random);
        };
        std::uint64_t life = LogLife;
        auto replica = std::make_unique<Replica>(life);
        Balancer balancer;
        balancer.targets.setSource(Near);
        QueuedLinks links;
        FollowerId link = 1;
        TimePoint now = Start;
        std::uint64_t sequence = 1;
        std::array<TargetPhase, Places> phases{};
        std::array<std::uint64_t, Places> lifetimes{};
        const auto connect = [&] {
            replica->publisher.unfollow(link);
            links.queues.erase(link);
            balancer.follower.lost(Near);
            replica->publisher.follow(++link, balancer.follower.request(Near));
        };
        connect();
        for (int step = 0; step < Steps; ++step) {
            now += milliseconds(50 + randomBelow(200));
            // A target drains or ends, and a new one follows at its position.
            const std::uint64_t place = randomBelow(Places);
            TargetRecord record = targetOf(1 + place + Places * lifetimes[place], ++sequence);
            phases[place] = static_cast<TargetPhase>(std::max<std::uint64_t>(value(phases[place]), randomBelow(20) == 0 ? 1 + randomBelow(2) : 0));
            record.phase = phases[place];
            replica->announce(now, record);
            if (record.phase == TargetPhase::Left) {
                phases[place] = TargetPhase::Serving;
                ++lifetimes[place];
            }
            replica->tick(now);
            if (randomBelow(30) == 0) {
                connect();
            }
            if (randomBelow(100) == 0) {
                replica = std::make_unique<Replica>(++life);
                connect();
            }
            if (randomBelow(60) == 0) {
                now += LeftTargetRetention; // All targets that left are removed, and silent ones soon after.
            }
            replica->publisher.publish(now, randomBelow(10) != 0, links);
            for (std::uint64_t i = randomBelow(3); i > 0; --i) {
                if (const std::optional<DirectoryPage> page = links.take(link)) {
                    REQUIRE(balancer.take(now, *page) <= PageResult::Completed);
                }
            }
        }
        // The links work again; three rounds carry more than the whole directory.
        for (int round = 0; round < 3; ++round) {
            now += PageLifetime;
            replica->publisher.publish(now, true, links);
            balancer.drain(now, links, link);
        }
        checkMatches(balancer, replica->directory, now);
        for (std::uint64_t place = 0; place < Places; ++place) {
            for (std::uint64_t lifetime = 0; lifetime <= lifetimes[place]; ++lifetime) {
                const std::uint64_t key = 1 + place + Places * lifetime;
                const bool known = replica->directory.status(now, TargetKey{key}).has_value();
                const SteeredTarget *target = balancer.find(key);
                const bool gone = target == nullptr || target->record.phase == TargetPhase::Left || !balancer.reportedAlive(key);
                CHECK((known || gone));
            }
        }
    }
}

// ---- Which replica ----

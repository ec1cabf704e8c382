// SPDX-License-Identifier: MIT
// Directory digest: replicas that connect converge to the same targets without sending those that both have.
#include "directory_reconciler.h"
#include "directory_responder.h"

#include <doctest/doctest.h>
#include <pcg_random.hpp>

#include <algorithm>
#include <deque>
#include <functional>

using namespace Robinrail;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint Start(std::chrono::hours(1));
constexpr Duration TickInterval = milliseconds(25);

TargetRecord targetOf(std::uint64_t key, std::uint64_t born = 1)
{
    TargetRecord record;
    record.key = TargetKey{key};
    record.service = key % 2 == 0 ? "quotes" : "decks";
    record.address = {0x0a000000U + static_cast<std::uint32_t>(key), 8080};
    record.dataCentre = DataCentreId{1};
    record.slots = 2;
    record.sequence = 7;
    record.born = born;
    return record;
}

// A replica's links to others; messages arrive in the next tick.
struct PeerLinks {
    std::map<ReplicaLinkId, std::deque<Bytes>> queues; // Towards the peer, by link.
    std::uint64_t records = 0;
    std::uint64_t bytes = 0;

    std::size_t buffered(ReplicaLinkId link)
    {
        std::size_t waiting = 0;
        for (const Bytes &message : queues[link]) {
            waiting += message.size();
        }
        return waiting;
    }

    void sendEncoded(ReplicaLinkId link, const Bytes &message)
    {
        const std::optional<NodeMessage> decoded = decodeMessage<NodeMessage>(message);
        REQUIRE(decoded);
        if (const auto *list = std::get_if<TargetStatusList>(&*decoded)) {
            records += list->statuses.size();
        }
        bytes += message.size();
        queues[link].push_back(message);
    }
};

struct Replica {
    TargetDirectory directory{milliseconds(770), seconds(3)};
    DirectoryReconciler reconciler{directory};
    DirectoryResponder responder{directory};
    PeerLinks links;
    bool startsInformed = true;

    bool informed() const
    {
        return startsInformed || reconciler.informed();
    }

    void take(TimePoint now, const TargetRecord &record)
    {
        directory.apply(now, {record, false, Duration{0}, Duration{0}});
    }
};

// Replicas with one link between each pair.
struct Cluster {
    explicit Cluster(std::size_t size)
        : replicas(size)
    {
    }

    std::vector<Replica> replicas;
    TimePoint now = Start;

    // A replica identifies a link by the index of the replica at the other end.
    void linkUp(std::size_t one, std::size_t other)
    {
        for (const auto &[from, to] : {std::pair(one, other), std::pair(other, one)}) {
            replicas[from].reconciler.linked(ReplicaId{static_cast<std::uint32_t>(to + 1)}, to);
        }
    }

    void linkDown(std::size_t one, std::size_t other)
    {
        for (const auto &[from, to] : {std::pair(one, other), std::pair(other, one)}) {
            replicas[from].links.queues.erase(to);
            replicas[from].reconciler.closed(to);
            replicas[from].responder.closed(to);
        }
    }

    void linkAll()
    {
        for (std::size_t one = 0; one < replicas.size(); ++one) {
            for (std::size_t other = one + 1; other < replicas.size(); ++other) {
                linkUp(one, other);
            }
        }
    }

    void send(std::size_t from, std::size_t to, NodeMessage message)
    {
        replicas[from].links.sendEncoded(to, encodeMessage(message));
    }

    void tick()
    {
        now += TickInterval;
        for (std::size_t from = 0; from < replicas.size(); ++from) {
            for (auto &[to, queue] : std::exchange(replicas[from].links.queues, {})) {
                for (const Bytes &message : queue) {
                    receive(from, to, *decodeMessage<NodeMessage>(message));
                }
            }
        }
        for (std::size_t self = 0; self < replicas.size(); ++self) {
            Replica &replica = replicas[self];
            if (const auto request = replica.reconciler.nextComparison(now)) {
                send(self, request->link, request->compare);
            }
            replica.responder.sendDue(now, replica.informed(), replica.links);
        }
    }

    void receive(std::size_t from, std::size_t to, const NodeMessage &message)
    {
        Replica &replica = replicas[to];
        if (const auto *digest = std::get_if<DirectoryDigest>(&message)) {
            REQUIRE(digest->isValid());
            if (const auto request = replica.reconciler.onDigest(now, from, *digest)) {
                send(to, from, *request);
            }
        } else if (const auto *compare = std::get_if<DirectoryCompare>(&message)) {
            REQUIRE(compare->isValid());
            DirectoryDigest answer{replica.informed(), replica.directory.digest(compare->buckets)};
            if (digestHash(answer.buckets) == compare->hash) {
                answer.buckets.clear();
            }
            send(to, from, answer);
        } else if (const auto *query = std::get_if<DirectoryQuery>(&message)) {
            REQUIRE(query->isValid());
            replica.responder.begin(from, *query);
        } else if (const auto *list = std::get_if<TargetStatusList>(&message)) {
            replica.reconciler.onProgress(now, from);
            for (const TargetStatus &news : list->statuses) {
                replica.directory.apply(now, news);
            }
        } else if (const auto *answer = std::get_if<DirectoryQueryDone>(&message)) {
            replica.reconciler.onQueryDone(from, *answer);
        }
    }

    void runTicks(int count)
    {
        for (int i = 0; i < count; ++i) {
            tick();
        }
    }

    std::uint64_t records() const
    {
        std::uint64_t sum = 0;
        for (const Replica &replica : replicas) {
            sum += replica.links.records;
        }
        return sum;
    }

    bool converged() const
    {
        const std::vector<std::uint32_t> first = replicas.front().directory.digest(MinDigestBuckets);
        return std::all_of(replicas.begin(), replicas.end(), [&first](const Replica &replica) {
            return replica.directory.digest(MinDigestBuckets) == first;
        });
    }
};

} // namespace

TEST_CASE("a digest depends on lifetime, phase, address, slots and service, not on fields that change with each announcement")
{
    TargetRecord record = targetOf(5);
    const std::uint32_t hash = digestOf(record);
    record.sequence = 90;
    record.warmupLeft = seconds(1);
    CHECK(digestOf(record) == hash);
    for (const auto &change : std::vector<std::function<void(TargetRecord &)>>{
             [](TargetRecord &changed) {
                 changed.born = 2;
             },
             [](TargetRecord &changed) {
                 changed.phase = TargetPhase::Draining;
             },
             [](TargetRecord &changed) {
                 changed.address.port = 81;
             },
             [](TargetRecord &changed) {
                 changed.slots = 3;
             },
             [](TargetRecord &changed) {
                 changed.service = "other";
             },
             [](TargetRecord &changed) {
                 changed.key = TargetKey{6};
             },
         }) {
        TargetRecord changed = record;
        change(changed);
        CHECK(digestOf(changed) != hash);
    }
}

TEST_CASE("a digest with an invalid number of buckets is rejected, and so is a query for buckets out of range")
{
    for (const std::uint32_t size : {1U, 8U, 17U, 100U, 32768U}) {
        CHECK_FALSE(DirectoryDigest{true, std::vector<std::uint32_t>(size)}.isValid());
        CHECK_FALSE(DirectoryCompare{size, 1}.isValid());
    }
    CHECK_FALSE(DirectoryCompare{0, 1}.isValid());
    CHECK(DirectoryDigest{true, {}}.isValid()); // The directories are identical.
    CHECK(DirectoryDigest{true, std::vector<std::uint32_t>(MaxDigestBuckets)}.isValid());
    CHECK(DirectoryQuery{16, {0, 15}}.isValid());
    CHECK_FALSE(DirectoryQuery{16, {16}}.isValid());
    CHECK_FALSE(DirectoryQuery{12, {0}}.isValid());
    CHECK_FALSE(DirectoryQuery{16, std::vector<std::uint32_t>(17)}.isValid());
    for (const std::size_t targets : {0U, 1U, 150U, 10'000U, 89'000U, 1'000'000U}) {
        CHECK(DirectoryDigest{true, std::vector<std::uint32_t>(digestBuckets(targets))}.isValid());
    }
}

TEST_CASE("replicas that restart with the same targets send no records, whatever the number of replicas")
{
    for (const std::size_t size : {5U, 10U, 20U}) {
        Cluster cluster(size);
        for (Replica &replica : cluster.replicas) {
            for (std::uint64_t key = 1; key <= 1000; ++key) {
                replica.take(Start, targetOf(key));
            }
        }
        cluster.linkAll();
        cluster.runTicks(static_cast<int>(4 * size));
        CHECK(cluster.records() == 0);
        constexpr std::uint64_t MessageBytes = 40; // Identical directories take one request and one answer.
        for (const Replica &replica : cluster.replicas) {
            CHECK(replica.links.bytes <= 2 * size * MessageBytes);
        }
    }
}

TEST_CASE("a replica with an empty disk receives each target once, whatever the number of linked replicas")
{
    constexpr std::uint64_t Targets = 2000;
    for (const std::size_t size : {5U, 10U, 25U}) {
        Cluster cluster(size);
        for (std::size_t i = 1; i < size; ++i) {
            for (std::uint64_t key = 1; key <= Targets; ++key) {
                cluster.replicas[i].take(Start, targetOf(key));
            }
        }
        cluster.replicas[0].startsInformed = false;
        cluster.linkAll();
        cluster.runTicks(160);
        CHECK(cluster.replicas[0].directory.size() == Targets);
        CHECK(cluster.replicas[0].informed());
        CHECK(cluster.records() == Targets);
    }
}

TEST_CASE("replicas find the few targets that differ, and send few others")
{
    constexpr std::uint64_t Targets = 4000;
    Cluster cluster(2);
    for (Replica &replica : cluster.replicas) {
        for (std::uint64_t key = 1; key <= Targets; ++key) {
            replica.take(Start, targetOf(key));
        }
    }
    TargetRecord left = targetOf(77);
    left.phase = TargetPhase::Left;
    cluster.replicas[0].take(Start, left);
    cluster.replicas[1].take(Start, targetOf(78, 2)); // Restarted.
    cluster.replicas[1].take(Start, targetOf(Targets + 1));
    cluster.linkAll();
    cluster.runTicks(20);
    CHECK(cluster.converged());
    for (const Replica &replica : cluster.replicas) {
        CHECK(replica.directory.find(TargetKey{77})->phase == TargetPhase::Left);
        CHECK(replica.directory.find(TargetKey{78})->born == 2);
        CHECK(replica.directory.find(TargetKey{Targets + 1}) != nullptr);
    }
    constexpr std::uint64_t Differences = 3;
    CHECK(cluster.records() <= Differences * 2 * 4 * TargetsPerBucket);
}

TEST_CASE("a queried replica that goes silent does not block queries to the others")
{
    Cluster cluster(3);
    for (std::size_t i = 1; i < 3; ++i) {
        cluster.replicas[i].take(Start, targetOf(1));
        cluster.replicas[i].take(Start, targetOf(1 + i));
    }
    DirectoryReconciler &reconciler = cluster.replicas[0].reconciler;
    const auto digestOfPeer = [&cluster](ReplicaLinkId link, std::size_t buckets) {
        return DirectoryDigest{true, cluster.replicas[link].directory.digest(buckets)};
    };
    reconciler.linked(ReplicaId{1}, 1);
    reconciler.linked(ReplicaId{2}, 2);
    const auto first = reconciler.nextComparison(Start);
    REQUIRE(first);
    CHECK_FALSE(reconciler.nextComparison(Start + ReconcileTimeout - TickInterval));
    CHECK(reconciler.onDigest(Start + ReconcileTimeout - TickInterval, first->link, digestOfPeer(first->link, first->compare.buckets)));
    CHECK_FALSE(reconciler.nextComparison(Start + ReconcileTimeout));
    reconciler.onProgress(Start + ReconcileTimeout, first->link);
    CHECK_FALSE(reconciler.nextComparison(Start + 2 * ReconcileTimeout - TickInterval));
    const auto second = reconciler.nextComparison(Start + 2 * ReconcileTimeout);
    REQUIRE(second);
    CHECK(second->link != first->link);
    // Late answers of the first replica are not taken for answers of the second one.
    CHECK_FALSE(reconciler.onDigest(Start, first->link, digestOfPeer(first->link, first->compare.buckets)));
    reconciler.onQueryDone(first->link, {true});
    CHECK_FALSE(reconciler.informed());
    reconciler.closed(second->link);
    const auto again = reconciler.nextComparison(Start + 2 * ReconcileTimeout);
    REQUIRE(again);
    CHECK(again->link == first->link);
    reconciler.onQueryDone(again->link, {true});
    CHECK(reconciler.informed());
}

// Thousands of targets announce themselves while the replicas connect, and each is also sent on all established links.
TEST_CASE("while targets start, replicas query each other for no more than what arrived between a request and its answer")
{
    constexpr std::size_t Size = 10;
    constexpr std::uint64_t Targets = 2000;
    constexpr std::uint64_t TargetsPerTick = 20;
    Cluster cluster(Size);
    cluster.linkAll();
    for (std::uint64_t key = 1; key <= Targets; ++key) {
        for (Replica &replica : cluster.replicas) {
            replica.take(cluster.now, targetOf(key));
        }
        if (key % TargetsPerTick == 0) {
            cluster.tick();
        }
    }
    cluster.runTicks(100);
    CHECK(cluster.converged());
    CHECK(cluster.records() <= Size * (Size - 1) * 2 * TargetsPerTick * 2 * TargetsPerBucket);
}

TEST_CASE("replicas converge after lost links and changes once their links stay up")
{
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        pcg64 random(seed);
        Cluster cluster(4);
        const auto anyReplica = [&] {
            return static_cast<std::size_t>(random() % cluster.replicas.size());
        };
        for (int step = 0; step < 200; ++step) {
            TargetRecord record = targetOf(1 + random() % 300, 1 + random() % 3);
            record.sequence = random() % 50;
            record.phase = static_cast<TargetPhase>(random() % 3);
            cluster.replicas[anyReplica()].take(cluster.now, record);
            const std::size_t one = anyReplica();
            const std::size_t other = anyReplica();
            if (one != other) {
                cluster.linkDown(one, other);
                if (random() % 2 == 0) {
                    cluster.linkUp(one, other);
                }
            }
            cluster.runTicks(static_cast<int>(random() % 3));
        }
        // The first round spreads what some replicas know, and the second one what arrived during the first.
        for (int round = 0; round < 2; ++round) {
            for (std::size_t one = 0; one < cluster.replicas.size(); ++one) {
                for (std::size_t other = one + 1; other < cluster.replicas.size(); ++other) {
                    cluster.linkDown(one, other);
                    cluster.linkUp(one, other);
                }
            }
            cluster.runTicks(40);
        }
        CHECK_MESSAGE(cluster.converged(), "seed ", seed);
    }
}

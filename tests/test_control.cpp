// SPDX-License-Identifier: MIT
// Control: single scenarios of changes, elections, repairs and reads.
#include "control_cluster.h"

#include <doctest/doctest.h>

using namespace Robinrail;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("a change is acknowledged only after the number of copies that the tolerated losses require")
{
    ClusterOptions options = automaticVoters(2);
    options.replicas = 3;
    ControlCluster cluster(options);
    REQUIRE(cluster.runUntil([&] {
        return cluster.leader() != 0 && cluster.core(cluster.leader()).raft().commitIndex() == cluster.core(cluster.leader()).raft().lastIndex();
    }));
    const int leader = cluster.leader();
    const int other = leader == 1 ? 2 : 1;
    cluster.crash(other);
    const SignedChange change = cluster.makeProposal(0, "first");
    cluster.submit(leader, change);
    cluster.run(seconds(1));
    CHECK(cluster.answersTo(change.change).empty());
    cluster.restart(other);
    CHECK(cluster.runUntil([&] {
        return !cluster.answersTo(change.change).empty();
    }));
}

TEST_CASE("replicas join automatically and commit a change")
{
    ControlCluster cluster({});
    REQUIRE(cluster.runUntil([&] {
        return cluster.converged();
    }));
    const SignedChange change = cluster.makeProposal(0, "first");
    cluster.submit(cluster.leader(), change);
    cluster.run(seconds(1));
    REQUIRE(cluster.answersTo(change.change).size() == 1);
    CHECK(cluster.answersTo(change.change).front().version == 1);
}

TEST_CASE("of two changes with equal numbers one is accepted and the other is refused with the id of the accepted one")
{
    ControlCluster cluster({});
    cluster.runUntil([&] {
        return cluster.converged();
    });
    const SignedChange first = cluster.makeProposal(0, "first");
    const SignedChange second = cluster.makeProposal(0, "second");
    cluster.submit(cluster.leader(), first);
    cluster.submit(cluster.leader(), second);
    cluster.submit(cluster.leader(), first);
    cluster.run(seconds(1));
    CHECK(cluster.answersTo(second.change).front().refusal == ChangeRefusal::VersionConflict);
    CHECK(cluster.answersTo(second.change).front().winner == first.change);
    CHECK(cluster.answersTo(first.change).size() == 2);
    CHECK(cluster.answersTo(first.change)[0] == cluster.answersTo(first.change)[1]);
    CHECK(cluster.core(1).state().latestVersion() == 1);
}

TEST_CASE("a frozen leader that resumes after a new election commits nothing")
{
    ControlCluster cluster({});
    cluster.runUntil([&] {
        return cluster.converged();
    });
    const int formerLeader = cluster.leader();
    cluster.freeze(formerLeader);
    REQUIRE(cluster.runUntil([&] {
        return cluster.leader() != 0 && cluster.leader() != formerLeader;
    }));
    const SignedChange change = cluster.makeProposal(0, "first");
    cluster.submit(cluster.leader(), change);
    cluster.run(seconds(1));
    cluster.thaw(formerLeader);
    const SignedChange stale = cluster.makeProposal(0, "second");
    cluster.submit(formerLeader, stale);
    cluster.run(seconds(2));
    CHECK(cluster.violation().empty());
    CHECK(cluster.core(formerLeader).state().latestVersion() == 1);
    CHECK(cluster.core(formerLeader).state().history().front().change == change.change);
}

TEST_CASE("a repaired replica and then the loss of a second one lose no committed change")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        ClusterOptions options;
        options.seed = seed;
        ControlCluster cluster(options);
        cluster.runUntil([&] {
            return cluster.converged();
        });
        for (int lost : {3, 2, 1}) {
            const std::uint64_t before = cluster.core(cluster.leader()).state().latestVersion();
            const SignedChange change = cluster.makeProposal(before, "first");
            cluster.submit(cluster.leader(), change);
            cluster.runUntil([&] {
                return !cluster.answersTo(change.change).empty() && cluster.converged();
            });
            REQUIRE(cluster.wipe(lost));
            REQUIRE(cluster.runUntil([&] {
                return cluster.converged();
            }));
        }
        CHECK(cluster.core(1).state().latestVersion() == 3);
        CHECK(cluster.violation().empty());
    }
}

TEST_CASE("a replica that missed thousands of changes catches up from a snapshot")
{
    ControlCluster cluster({});
    cluster.runUntil([&] {
        return cluster.converged();
    });
    cluster.crash(3);
    for (std::uint64_t version = 0; version < CompactionInterval + 200; ++version) {
        const SignedChange change = cluster.makeProposal(version, "first");
        const int leading = cluster.leader();
        cluster.submit(leading != 0 ? leading : 1, change);
        if (version % 50 == 0) {
            cluster.run(milliseconds(100));
        }
    }
    cluster.run(seconds(1));
    const std::uint64_t reached = cluster.core(cluster.leader()).state().latestVersion();
    CHECK(reached > 4000);
    CHECK(value(cluster.core(cluster.leader()).raft().snapshot().index) > 0);
    cluster.restart(3);
    REQUIRE(cluster.runUntil([&] {
        return cluster.converged();
    }));
    CHECK(cluster.core(3).state().latestVersion() == reached);
    CHECK(cluster.violation().empty());
}

TEST_CASE("a partitioned leader does not answer reads")
{
    ControlCluster cluster({});
    cluster.runUntil([&] {
        return cluster.converged();
    });
    const int formerLeader = cluster.leader();
    cluster.partition(1U << static_cast<unsigned>(formerLeader - 1));
    ControlCore &core = cluster.core(formerLeader);
    core.read(TimePoint{std::chrono::hours(1)}, 4711);
    CHECK(core.takeOutput().reads.empty());
}

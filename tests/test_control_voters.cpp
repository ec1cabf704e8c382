// SPDX-License-Identifier: MIT
// Control voters: how replicas join, which of them vote, and how votes pass on when replicas stop or lose their disks.
#include "control_cluster.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace Robinrail;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against a replaced replica that stays without a vote until a second disk is lost. 4 s is the time between two
// disk losses in the smallest deployments. A replica with an empty disk knows only the seeds, while the leader may be
// another replica, whose first append is lost if it is sent before its link to the new replica is up.
TEST_CASE("a replica that lost its disk votes again within 4 s, whether or not a seed leads")
{
    constexpr int Replicas = 5;
    int ledByNonSeed = 0;
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        ClusterOptions options = automaticVoters(2);
        options.replicas = Replicas;
        options.seed = seed;
        options.linkTime = milliseconds(20) + milliseconds(seed * 2);
        ControlCluster cluster(options);
        const auto converged = [&cluster] {
            return cluster.converged();
        };
        REQUIRE(cluster.runUntil(converged));
        for (int lost = 1; lost <= Replicas; ++lost) {
            REQUIRE(cluster.wipe(lost));
            CHECK(cluster.runUntil(converged, seconds(4)));
            REQUIRE(cluster.runUntil(converged, seconds(60)));
            ledByNonSeed += cluster.leader() > options.seeds ? 1 : 0;
        }
        CHECK(cluster.violation().empty());
    }
    CHECK(ledByNonSeed > 0);
}

TEST_CASE("seeds form one cluster, and a spare replaces a voter that crashed")
{
    ClusterOptions options = automaticVoters(1);
    options.replicas = 4;
    ControlCluster cluster(options);
    REQUIRE(cluster.runUntil([&] {
        return cluster.converged();
    }));
    CHECK(cluster.voterCount() == 3);
    CHECK_FALSE(cluster.isVoter(4));
    const int lost = cluster.leader() == 1 ? 2 : 1;
    cluster.crash(lost);
    REQUIRE(cluster.runUntil([&] {
        return cluster.isVoter(4) && !cluster.isVoter(lost) && cluster.voterCount() == 3;
    }));
    cluster.restart(lost);
    REQUIRE(cluster.runUntil([&] {
        return cluster.converged();
    }));
    CHECK_FALSE(cluster.isVoter(lost));
    CHECK(cluster.violation() == "");
}

// Guards against a removed replica that keeps its vote: two disks of three voters and an empty one then give no quorum,
// although the successor held the whole log.
TEST_CASE("a stopped replica hands its vote to a learner before it ends, whoever leads and however many voters there are")
{
    for (const std::size_t losses : {std::size_t{0}, std::size_t{1}, std::size_t{2}}) {
        const int replicas = static_cast<int>(2 * losses) + 2;
        for (int stopped = 1; stopped <= replicas; ++stopped) {
            CAPTURE(losses);
            CAPTURE(stopped);
            ClusterOptions options = automaticVoters(losses);
            options.replicas = replicas;
            options.seeds = std::min(3, replicas - 1);
            options.seed = static_cast<std::uint64_t>(stopped);
            ControlCluster cluster(options);
            REQUIRE(cluster.runUntil([&] {
                return cluster.converged();
            }));
            cluster.stop(stopped);
            // Shorter than voterTimeout, after which the silent voter would be replaced in any case.
            REQUIRE(cluster.runUntil(
                [&] {
                    return !cluster.up(stopped);
                },
                seconds(1)));
            REQUIRE(cluster.runUntil(
                [&] {
                    return cluster.leader() != 0;
                },
                milliseconds(100)));
            CHECK_FALSE(cluster.isVoter(stopped));
            CHECK(cluster.voterCount() == options.policy.desiredVoters);
            CHECK(cluster.violation().empty());
        }
    }
}

TEST_CASE("a document survives the loss of the disk that acknowledged it right after a planned removal, while the others lose power")
{
    constexpr int Replicas = 4;
    for (int removed = 1; removed <= Replicas; ++removed) {
        CAPTURE(removed);
        ClusterOptions options = automaticVoters(1);
        options.replicas = Replicas;
        ControlCluster cluster(options);
        REQUIRE(cluster.runUntil([&] {
            return cluster.converged();
        }));
        cluster.stop(removed);
        REQUIRE(cluster.runUntil([&] {
            return !cluster.up(removed) && cluster.leader() != 0;
        }));
        const SignedChange change = cluster.makeProposal(0, "first");
        const int acknowledging = cluster.leader();
        cluster.submit(acknowledging, change);
        REQUIRE(cluster.runUntil([&] {
            return !cluster.answersTo(change.change).empty();
        }));
        for (int number = 1; number <= Replicas; ++number) {
            cluster.crash(number);
        }
        for (int number = 1; number <= Replicas; ++number) {
            if (number == acknowledging) {
                cluster.loseDisk(number);
            } else if (number != removed) {
                cluster.restart(number);
            }
        }
        REQUIRE(cluster.runUntil(
            [&] {
                return cluster.leader() != 0 && cluster.core(cluster.leader()).state().latestVersion() == 1;
            },
            seconds(10)));
        const SignedChange next = cluster.makeProposal(1, "first");
        cluster.submit(cluster.leader(), next);
        CHECK(cluster.runUntil(
            [&] {
                return !cluster.answersTo(next.change).empty();
            },
            seconds(10)));
        CHECK(cluster.violation().empty());
    }
}

TEST_CASE("a stopped replica ends at once without a caught-up learner, and keeps its vote")
{
    for (int stopped = 1; stopped <= 3; ++stopped) {
        CAPTURE(stopped);
        ClusterOptions options = automaticVoters(1);
        options.replicas = 4;
        options.seed = static_cast<std::uint64_t>(stopped);
        ControlCluster cluster(options);
        REQUIRE(cluster.runUntil([&] {
            return cluster.converged();
        }));
        int learner = 1;
        while (cluster.isVoter(learner)) {
            ++learner;
        }
        cluster.crash(learner);
        cluster.run(seconds(1));
        const int leading = cluster.leader();
        const int other = stopped == learner ? leading : stopped;
        cluster.stop(other);
        CHECK(cluster.runUntil(
            [&] {
                return !cluster.up(other);
            },
            milliseconds(100)));
        if (other != leading) {
            CHECK(cluster.isVoter(other));
        }
    }
}

// Guards against votes that pass to replicas that stop as well: the votes of replicas that do not return would then
// outnumber those of the replicas that do.
TEST_CASE("replicas that are all stopped together end within the limit, and a quorum of the seeds suffices afterwards")
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        CAPTURE(seed);
        constexpr int Replicas = 5;
        ClusterOptions options = automaticVoters(1);
        options.replicas = Replicas;
        options.seed = seed;
        ControlCluster cluster(options);
        REQUIRE(cluster.runUntil([&] {
            return cluster.converged();
        }));
        std::vector<int> voters;
        for (int number = 1; number <= Replicas; ++number) {
            if (cluster.isVoter(number)) {
                voters.push_back(number);
            }
        }
        for (int number = 1; number <= Replicas; ++number) {
            cluster.stop(number);
        }
        REQUIRE(cluster.runUntil(
            [&] {
                return !cluster.up(1) && !cluster.up(2) && !cluster.up(3) && !cluster.up(4) && !cluster.up(5);
            },
            VoteHandoverLimit + milliseconds(100)));
        for (const int number : voters) {
            cluster.restart(number);
        }
        CHECK(cluster.runUntil(
            [&] {
                return cluster.leader() != 0 && cluster.core(cluster.leader()).raft().configCommitted();
            },
            seconds(10)));
        CHECK(cluster.violation().empty());
    }
}

TEST_CASE("a rolling restart passes each vote on and keeps the number of voters")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        ClusterOptions options = automaticVoters(1);
        options.replicas = 4;
        options.seed = seed;
        options.drop = 0.02;
        options.linkTime = milliseconds(20);
        ControlCluster cluster(options);
        REQUIRE(cluster.runUntil([&] {
            return cluster.converged();
        }));
        for (int number = 1; number <= options.replicas; ++number) {
            cluster.stop(number);
            CHECK(cluster.runUntil(
                [&] {
                    return !cluster.up(number);
                },
                VoteHandoverLimit));
            CHECK(cluster.runUntil(
                [&] {
                    return cluster.leader() != 0;
                },
                seconds(2)));
            CHECK(cluster.voterCount() == 3);
            cluster.restart(number);
            REQUIRE(cluster.runUntil([&] {
                return cluster.converged();
            }));
        }
        CHECK(cluster.violation().empty());
    }
}

TEST_CASE("a stopped replica without a quorum ends when its time is over")
{
    ClusterOptions options = automaticVoters(1);
    options.replicas = 4;
    ControlCluster cluster(options);
    REQUIRE(cluster.runUntil([&] {
        return cluster.converged();
    }));
    cluster.partition(0b0001);
    cluster.stop(1);
    CHECK(cluster.runUntil(
        [&] {
            return !cluster.up(1);
        },
        VoteHandoverLimit + milliseconds(50)));
}

// Number of log entries from the start of a cluster until all replicas are members, five of them voters.
std::uint64_t logEntriesUntilSettled(int replicas)
{
    ClusterOptions options;
    options.replicas = replicas;
    options.seeds = 3;
    options.policy.desiredVoters = 5;
    options.policy.minCopies = 3;
    ControlCluster cluster(options);
    REQUIRE(cluster.runUntil([&] {
        return cluster.converged();
    }));
    CHECK(cluster.violation().empty());
    CHECK(cluster.voterCount() == 5);
    return value(cluster.core(cluster.leader()).raft().lastIndex());
}

TEST_CASE("replicas that start together are added by a few membership changes, not by one each")
{
    const std::uint64_t few = logEntriesUntilSettled(6);
    const std::uint64_t many = logEntriesUntilSettled(25);
    CHECK(many <= few + 4); // For 19 more replicas.
}

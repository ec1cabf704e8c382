// SPDX-License-Identifier: MIT
// Control: consensus and the control state machine under random failure schedules, and single scenarios.
#include "control_cluster.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace Robinrail;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

enum class Step : std::uint8_t {
    Wait,
    WaitLong,
    Crash,
    FailSync,
    Restart,
    Wipe,
    Freeze,
    Thaw,
    Partition,
    Heal,
    Propose,
    ProposeStale,
    ProposeTwice, // Two operators propose concurrently on the same base version.
    Resend,
    Stop, // Planned, by a signal; the replica hands its vote over if it can.
};

struct Action {
    Step step = Step::Wait;
    int number = 1;
    unsigned set = 0;
};

std::ostream &operator<<(std::ostream &stream, const Action &action)
{
    return stream << static_cast<int>(action.step) << '@' << action.number << '/' << action.set;
}

rc::Gen<Action> anyAction(int replicas)
{
    return rc::gen::apply(
        [](int step, int number, unsigned set) {
            return Action{static_cast<Step>(step), number, set};
        },
        rc::gen::inRange(0, static_cast<int>(Step::Stop) + 1),
        rc::gen::inRange(1, replicas + 1),
        rc::gen::inRange(1U, (1U << static_cast<unsigned>(replicas)) - 1));
}

// Runs a schedule of failures, then repairs everything and checks that no acknowledged change is lost.
class ScheduleRunner
{
public:
    explicit ScheduleRunner(const ClusterOptions &options)
        : m_replicas(options.replicas)
        , m_cluster(options)
    {
        m_cluster.runUntil([this] {
            return m_cluster.converged();
        });
    }

    void execute(const Action &action)
    {
        switch (action.step) {
        case Step::Wait:
            return m_cluster.run(milliseconds(40 * action.number));
        case Step::WaitLong:
            return m_cluster.run(seconds(2));
        case Step::Crash:
            return m_cluster.crash(action.number);
        case Step::FailSync:
            return m_cluster.failNextSync(action.number);
        case Step::Restart:
            return m_cluster.restart(action.number);
        case Step::Wipe:
            m_wipes += m_cluster.wipe(action.number) ? 1 : 0;
            return;
        case Step::Freeze:
            return m_cluster.freeze(action.number);
        case Step::Thaw:
            return m_cluster.thaw(action.number);
        case Step::Partition:
            return m_cluster.partition(action.set);
        case Step::Heal:
            return m_cluster.heal();
        case Step::Propose:
            return propose(action.number, latest(action.number), "first");
        case Step::ProposeStale:
            return propose(action.number, latest(action.number) / 2, "second");
        case Step::ProposeTwice:
            propose(action.number, latest(action.number), "first");
            return propose(action.number, latest(action.number), "second");
        case Step::Resend:
            if (!m_sent.empty()) {
                m_cluster.submit(action.number, m_sent[action.set % m_sent.size()]);
            }
            return;
        case Step::Stop:
            return m_cluster.stop(action.number);
        }
    }

    // Repairs all faults and checks the outcome.
    void finish()
    {
        m_cluster.heal();
        for (int number = 1; number <= m_replicas; ++number) {
            m_cluster.thaw(number);
        }
        // Replicas that are stopping end within the limit, so that they can be restarted; slow clocks count up to 10% longer.
        m_cluster.run(VoteHandoverLimit + seconds(1));
        for (int number = 1; number <= m_replicas; ++number) {
            m_cluster.restart(number);
        }
        const bool converged = m_cluster.runUntil([this] {
            return m_cluster.converged();
        });
        RC_ASSERT(converged);
        RC_ASSERT(m_cluster.violation() == "");
        for (int number = 1; number <= m_replicas; ++number) {
            RC_ASSERT(m_cluster.core(number).state().latestVersion() >= m_cluster.acknowledgedVersion());
        }
        for (const SignedChange &change : m_sent) {
            const std::vector<ChangeResult> answers = m_cluster.answersTo(change.change);
            for (const ChangeResult &answer : answers) {
                RC_ASSERT(answer == answers.front());
            }
        }
    }

    int wipes() const
    {
        return m_wipes;
    }

private:
    std::uint64_t latest(int number)
    {
        return m_cluster.core(number).state().latestVersion();
    }

    void propose(int number, std::uint64_t base, const char *operatorName)
    {
        m_sent.push_back(m_cluster.makeProposal(base, operatorName));
        m_cluster.submit(number, m_sent.back());
    }

    int m_replicas;
    ControlCluster m_cluster;
    std::vector<SignedChange> m_sent;
    int m_wipes = 0;
};

void runRandomSchedule(int replicas, double loss, ClusterOptions options = {})
{
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const auto actions = *rc::gen::container<std::vector<Action>>(anyAction(replicas));
    options.replicas = replicas;
    options.seed = seed;
    options.drop = loss;
    options.duplicate = loss;
    options.clockSkew = 0.1;
    ScheduleRunner runner(options);
    for (const Action &action : actions) {
        runner.execute(action);
    }
    runner.finish();
}

// Options of a cluster that chooses its voters automatically and tolerates the loss of `losses` disks.
ClusterOptions automaticVoters(std::size_t losses)
{
    ClusterOptions options;
    options.seeds = 3;
    options.policy.desiredVoters = 2 * losses + 1;
    options.policy.minCopies = losses + 1;
    options.policy.voterTimeout = milliseconds(1500);
    return options;
}

} // namespace

TEST_CASE("3 replicas preserve all invariants under any schedule")
{
    CHECK(rc::check("three replicas", [] {
        runRandomSchedule(3, 0);
    }));
}

TEST_CASE("3 replicas preserve all invariants with loss and duplication")
{
    CHECK(rc::check("three replicas, lossy", [] {
        runRandomSchedule(3, 0.05);
    }));
}

TEST_CASE("5 replicas preserve all invariants under any schedule")
{
    CHECK(rc::check("five replicas", [] {
        runRandomSchedule(5, 0.02);
    }));
}

TEST_CASE("4 replicas that choose their 3 voters preserve all invariants under any schedule")
{
    CHECK(rc::check("four replicas, one of them a spare", [] {
        runRandomSchedule(4, 0.02, automaticVoters(1));
    }));
}

TEST_CASE("6 replicas that choose their 5 voters preserve all invariants under any schedule")
{
    CHECK(rc::check("six replicas, one of them a spare", [] {
        runRandomSchedule(6, 0.02, automaticVoters(2));
    }));
}

TEST_CASE("5 replicas that dial those that they know preserve all invariants under any schedule")
{
    CHECK(rc::check("five replicas, three of them seeds, with links", [] {
        ClusterOptions options = automaticVoters(2);
        options.linkTime = milliseconds(60);
        runRandomSchedule(5, 0.02, options);
    }));
}

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

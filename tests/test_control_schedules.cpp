// SPDX-License-Identifier: MIT
// Control schedules: consensus and the control state machine under random schedules of failures.
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

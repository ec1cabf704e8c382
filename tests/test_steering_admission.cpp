// SPDX-License-Identifier: MIT
// Admission control in flow steering: which opening packets are refused, and which must never be.
#include "steering_balancer.h"

#include <deque>
#include <doctest/doctest.h>

using namespace Robinrail;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// A balancer whose targets answer after a given time. Every 10 ms a caller opens a flow and sends a request.
struct LoadedBalancer : SteeringBalancer {
    explicit LoadedBalancer(const RequestObjective &objective = {1, milliseconds(400), seconds(4)})
    {
        RoutingTable table = tableOf(2);
        table.objectives = {objective, objective};
        steering.apply(table);
    }

    // Counts the opening packets that were refused within this time.
    int run(Duration length, Duration answerTime)
    {
        int refused = 0;
        for (const TimePoint end = now + length; now < end; now += milliseconds(10)) {
            answerDue();
            const std::uint32_t caller = ++m_lastCaller;
            const SteeringDecision opening = open(caller);
            if (opening.action == SteeringAction::Reset) {
                CHECK(opening.reason == SteeringReason::Overloaded);
                ++refused;
            } else {
                sendPacket(caller, opening.token, 1, 1);
                m_pending.push_back({now + answerTime, caller, opening.token});
            }
            steering.tick(now);
        }
        return refused;
    }

    // A caller whose opening packet is refused now.
    std::uint32_t refusedCaller()
    {
        for (std::uint32_t caller = ++m_lastCaller;; caller = ++m_lastCaller) {
            if (open(caller).reason == SteeringReason::Overloaded) {
                return caller;
            }
        }
    }

private:
    struct PendingAnswer {
        TimePoint due;
        std::uint32_t caller = 0;
        FlowToken token{};
    };

    void answerDue()
    {
        while (!m_pending.empty() && m_pending.front().due <= now) {
            const PendingAnswer answer = m_pending.front();
            m_pending.pop_front();
            FlowPacket last = packet(answer.caller);
            last.token = answer.token;
            last.sequence = 101;
            last.acknowledged = 1000;
            last.closing = true;
            steering.steer(now, last);
        }
    }

    std::deque<PendingAnswer> m_pending;
    std::uint32_t m_lastCaller = 1000;
};

} // namespace

// Guards against refusals on a calm day.
TEST_CASE("no opening packet is refused while answers are as fast as usual")
{
    LoadedBalancer balancer;
    CHECK(balancer.run(seconds(10), milliseconds(40)) == 0);
}

// Guards against refusals where the usual answer takes a large part of the objective, as 50 of 200 ms.
TEST_CASE("no opening packet is refused while usual answers take nearly a third of the latency objective")
{
    LoadedBalancer balancer({1, milliseconds(200), seconds(2)});
    CHECK(balancer.run(seconds(10), milliseconds(60)) == 0);
}

// Guards against callers that wait for targets that can take no more.
TEST_CASE("openings are refused before any target has seen them while all targets are overloaded, and no longer afterwards")
{
    LoadedBalancer balancer;
    REQUIRE(balancer.run(seconds(3), milliseconds(40)) == 0);
    CHECK(balancer.run(seconds(3), milliseconds(300)) > 30);
    balancer.run(seconds(3), milliseconds(40));
    CHECK(balancer.run(seconds(2), milliseconds(40)) == 0);
}

// Guards against a false "not run": a flow that may be open at a target must not be refused.
TEST_CASE("no copy of an opening packet that was forwarded is refused under overload")
{
    LoadedBalancer balancer;
    const SteeringDecision first = balancer.open(1);
    REQUIRE(first.action == SteeringAction::Forward);
    balancer.run(seconds(3), milliseconds(300));
    CHECK(balancer.open(1).action == SteeringAction::Forward);
    CHECK(balancer.open(1, 1).action == SteeringAction::Forward);
    CHECK(balancer.open(2, 1).action == SteeringAction::Forward); // Its first copy may have gone through another balancer.
}

// Guards against a reset of an open flow by a delayed duplicate of its opening packet.
TEST_CASE("a first copy for an open flow is not refused under overload")
{
    LoadedBalancer balancer;
    const SteeringDecision first = balancer.open(1);
    balancer.sendPacket(1, first.token, 1, 1);
    balancer.run(seconds(3), milliseconds(300));
    CHECK(balancer.open(1).action == SteeringAction::Forward);
}

// Guards against a flow that opens at a target although its caller was told that it was refused.
TEST_CASE("copies of a refused opening packet are refused, too")
{
    LoadedBalancer balancer;
    balancer.run(seconds(3), milliseconds(300));
    const std::uint32_t caller = balancer.refusedCaller();
    CHECK(balancer.open(caller, 1).reason == SteeringReason::Overloaded);
    balancer.now += milliseconds(400);
    CHECK(balancer.open(caller, 2).reason == SteeringReason::Overloaded);
}

// Guards against a reset of an open flow: the reset of the refusal was lost, and the next copy went through another balancer.
TEST_CASE("a flow that opened through another balancer after its refusal here is not refused any more")
{
    LoadedBalancer balancer;
    balancer.run(seconds(3), milliseconds(300));
    const std::uint32_t caller = balancer.refusedCaller();
    const FlowToken token = SteeringTargets::tokenOf(TargetKey{101});
    REQUIRE(balancer.sendPacket(caller, token, 1, 1).action == SteeringAction::Forward);
    CHECK(balancer.open(caller, 2).action == SteeringAction::Forward);
}

// Guards against refusals where the document does not ask for admission control.
TEST_CASE("a route without latency objective is never refused")
{
    LoadedBalancer balancer(RequestObjective{});
    CHECK(balancer.run(seconds(5), milliseconds(300)) == 0);
}

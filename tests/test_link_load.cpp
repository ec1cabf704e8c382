// SPDX-License-Identifier: MIT
// The balancer's own link under overload: the limit on new flows follows what the link carries, and packets that a full link lost
// say nothing about targets.
#include "link_load.h"
#include "steering_balancer.h"

#include <doctest/doctest.h>
#include <pcg_random.hpp>

#include <cmath>
#include <deque>
#include <random>

using namespace Robinrail;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr double Capacity = 250'000; // Bytes per second.
constexpr std::size_t FlowBytes = 1300; // Of an admitted flow.
constexpr std::size_t RefusalBytes = 150; // Of an opening packet that is refused, with its reset, in the direction that carries more.
constexpr double UsualRate = 0.25 * Capacity / FlowBytes;

// A link with callers, each of whom returns up to twice after 50 ms if it is refused. The link loses what exceeds its capacity.
struct LoadedLink {
    LinkLoad link{Capacity};
    TimePoint now = Start;

    struct Totals {
        double used = 0; // Mean share of the capacity, with what was lost.
        double admitted = 0; // Flows per second.
    };

    Totals run(Duration length, double rate)
    {
        std::size_t bytes = 0;
        std::size_t admitted = 0;
        const TimePoint end = now + length;
        TimePoint nextCaller = now + gap(rate);
        while (now < end) {
            const bool returns = !m_returns.empty() && m_returns.front().at <= nextCaller;
            now = returns ? m_returns.front().at : nextCaller;
            Attempt attempt{now, m_random(), 0};
            if (returns) {
                attempt = m_returns.front();
                m_returns.pop_front();
            } else {
                nextCaller = now + gap(rate);
            }
            admitted += open(attempt) ? 1 : 0;
            bytes += m_lastBytes;
        }
        const double time = std::chrono::duration<double>(length).count();
        return {static_cast<double>(bytes) / Capacity / time, static_cast<double>(admitted) / time};
    }

private:
    struct Attempt {
        TimePoint at;
        std::uint64_t caller = 0;
        int number = 0;
    };

    Duration gap(double rate)
    {
        return Duration(std::llround(std::exponential_distribution(rate)(m_random) * 1e6));
    }

    bool open(Attempt attempt)
    {
        const AdmissionRequest request{1, attempt.caller};
        const bool admitted = link.allows(now, request);
        link.record(request, admitted);
        m_lastBytes = admitted ? FlowBytes : RefusalBytes;
        if (now - m_second >= milliseconds(100)) {
            m_second = now;
            m_carried = 0;
        }
        const std::size_t room = static_cast<std::size_t>(Capacity / 10) - std::min(m_carried, static_cast<std::size_t>(Capacity / 10));
        const std::size_t carried = std::min(m_lastBytes, room);
        m_carried += carried;
        link.recordBytes(carried, carried);
        if (!admitted && attempt.number < 2) {
            m_returns.push_back({now + milliseconds(50), attempt.caller, attempt.number + 1});
        }
        link.tick(now);
        return admitted;
    }

    pcg32 m_random{1};
    std::deque<Attempt> m_returns;
    std::size_t m_lastBytes = 0;
    TimePoint m_second; // Start of the present 100 ms, in which the link carries a tenth of its capacity.
    std::size_t m_carried = 0; // In these 100 ms.
};

} // namespace

// Load: five times what the link carries for a second, then 1.5 times. Guards against a limit that stays low for seconds after the
// link was full.
TEST_CASE("link: after a full second the limit returns to what the link carries")
{
    LoadedLink link;
    link.run(seconds(4), UsualRate);
    link.run(seconds(1), 20 * UsualRate);
    link.run(seconds(1), 6 * UsualRate);
    const LoadedLink::Totals totals = link.run(seconds(1), 6 * UsualRate);
    CHECK(totals.used >= MaxLinkShare - 0.1);
    CHECK(totals.used <= FullLinkShare);
}

// Load: 1.25 and 1.5 times what the link carries, and each refused caller returns twice. Guards against refusals that fill the link
// beyond the reserve, and against a limit that leaves more of it unused than the refusals need.
TEST_CASE("link: the returns of refused callers count against the limit")
{
    for (const double load : {5.0, 6.0}) {
        CAPTURE(load);
        LoadedLink link;
        link.run(seconds(4), UsualRate);
        link.run(seconds(2), load * UsualRate);
        for (int i = 0; i < 3; ++i) {
            const LoadedLink::Totals totals = link.run(seconds(2), load * UsualRate);
            CHECK(totals.used <= FullLinkShare);
            const double refusedShare = std::min(3 * load * UsualRate * RefusalBytes / Capacity, MaxLinkShare);
            const double room = (MaxLinkShare - refusedShare) * Capacity / FlowBytes;
            CHECK(totals.admitted >= 0.9 * room);
        }
    }
}

// Guards against a limit that stays when the load is gone.
TEST_CASE("link: the limit ends with the load")
{
    LoadedLink link;
    link.run(seconds(4), UsualRate);
    link.run(seconds(4), 6 * UsualRate);
    REQUIRE(link.link.limiter().limit());
    link.run(seconds(3), UsualRate);
    CHECK(!link.link.limiter().limit());
}

namespace {

// A balancer with a link whose caller's request is retransmitted once and answered 300 ms after it was sent first. Returns the number
// of windows of the pool that had an answer in them.
std::size_t answersOfRetransmittedRequests(std::size_t bytesPerTick)
{
    FlowSteering steering(LocalDataCentre, Capacity);
    RoutingTable table = tableOf(1);
    table.objectives = {{1, milliseconds(400), seconds(4)}, {1, milliseconds(400), seconds(4)}};
    steering.apply(table);
    steering.setInformed();
    TimePoint now = Start;
    steering.targets().take(now, FirstReplica, {targetOf(101, "quotes"), false, Duration{0}, Duration{0}});
    const auto pass = [&](Duration time) {
        for (const TimePoint end = now + time; now < end; now += milliseconds(10)) {
            steering.recordBytes(bytesPerTick, bytesPerTick);
            steering.tick(now);
        }
    };
    pass(seconds(1));
    std::size_t answered = 0;
    for (std::uint32_t caller = 1; caller <= 40; ++caller) {
        FlowPacket packet = SteeringBalancer::packet(caller);
        packet.opening = true;
        const SteeringDecision opening = steering.steer(now, packet);
        packet.opening = false;
        packet.token = opening.token;
        packet.sequence = 1;
        packet.acknowledged = 1;
        packet.dataBytes = 100;
        steering.steer(now, packet);
        pass(milliseconds(200));
        steering.steer(now, packet); // The retransmission.
        pass(milliseconds(100));
        packet.sequence = 101;
        packet.acknowledged = 1000;
        packet.dataBytes = 0;
        steering.steer(now, packet);
        const auto &pools = steering.admission().control().pools();
        answered += !pools.empty() && pools.begin()->second.meanAnswerTime() > Duration{} ? 1 : 0;
    }
    return answered;
}

} // namespace

// Guards against refusals by a pool whose targets are not overloaded: on a full link, requests are lost and sent again after 200 ms.
TEST_CASE("link: answers to retransmitted requests are not measured while the link may have lost them")
{
    constexpr auto BytesPerTick = static_cast<std::size_t>(Capacity / 100);
    CHECK(answersOfRetransmittedRequests(BytesPerTick / 4) > 0);
    CHECK(answersOfRetransmittedRequests(BytesPerTick) == 0);
}

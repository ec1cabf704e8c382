// SPDX-License-Identifier: MIT
// Balancer core: focused cases through its packets, with a mocked caller and target at the interface.
#include "balancer_core.h"

#include <doctest/doctest.h>

using namespace Robinrail;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const Endpoint CallerEndpoint{0x7f000001, 1000};
const Endpoint TargetEndpoint{0x7f000002, 2000};
constexpr ServiceId RateDesk{1};
constexpr ServiceId DocVault{2};

// One balancer with its outbox at hand.
class Bench
{
public:
    explicit Bench(std::uint16_t id = 1)
        : core(settingsOf(id))
    {
        const ServiceSettings services[] = {{RateDesk, "rate-desk"}, {DocVault, "doc-vault"}};
        core.applyBundle(now, 1, services);
        pass(Duration(0));
    }

    static BalancerSettings settingsOf(std::uint16_t id)
    {
        BalancerSettings settings;
        settings.self = {BalancerId{id}, Incarnation{1}};
        settings.peers = {{BalancerId{1}, {0x7f000101, 5000}}, {BalancerId{2}, {0x7f000102, 5000}}};
        settings.connectionIdKeys = {{1, {1}}};
        return settings;
    }

    void pass(Duration duration)
    {
        now += duration;
        core.tick(now);
    }

    void announce(std::uint32_t id, std::uint64_t sequence, bool draining = false)
    {
        Announcement announcement;
        announcement.target = TargetId{id};
        announcement.service = RateDesk;
        announcement.endpoint = {TargetEndpoint.address, static_cast<std::uint16_t>(TargetEndpoint.port + id)};
        announcement.incarnation = Incarnation{1};
        announcement.sequence = sequence;
        announcement.slots = 1;
        announcement.connections = 2000;
        announcement.draining = draining;
        core.handleTarget(now, announcement.endpoint, announcement);
        pass(Duration(0));
    }

    FlowOpened open()
    {
        core.handleCaller(now, RateDesk, CallerEndpoint, OpenFlow{5});
        return take<FlowOpened>().value();
    }

    Request request(const FlowOpened &flow, std::uint32_t id, bool repeatable = false)
    {
        return {flow.connectionId, RequestId{id}, repeatable, timeLeft, {1, 2, 3}};
    }

    void send(const Message &message, ServiceId service = RateDesk)
    {
        core.handleCaller(now, service, CallerEndpoint, message);
    }

    // The first message of a kind in the outbox, which is emptied of all before it.
    template<typename Typed>
    std::optional<Typed> take()
    {
        for (Outgoing &outgoing : core.takeOutbox()) {
            m_seen.push_back(std::move(outgoing.message));
        }
        for (std::size_t i = 0; i < m_seen.size(); ++i) {
            if (auto *typed = std::get_if<Typed>(&m_seen[i])) {
                const Typed found = *typed;
                m_seen.erase(m_seen.begin(), m_seen.begin() + static_cast<std::ptrdiff_t>(i) + 1);
                return found;
            }
        }
        m_seen.clear();
        return std::nullopt;
    }

    std::uint64_t rejected(RejectReason reason)
    {
        return core.context().counters.rejected[static_cast<std::size_t>(reason)];
    }

    TimePoint now{seconds(1000)};
    Duration timeLeft = seconds(5); // Of requests that are made from now on.
    BalancerCore<PartitionedSlots> core;

private:
    std::vector<Message> m_seen;
};

} // namespace

TEST_CASE("a request is answered with all its parts")
{
    Bench bench;
    bench.announce(1, 1);
    const FlowOpened flow = bench.open();
    bench.send(bench.request(flow, 1));
    const RunRequest run = bench.take<RunRequest>().value();
    bench.core.handleTarget(bench.now, TargetEndpoint, RunPart{run.attempt, 1, 2, {8}});
    CHECK_FALSE(bench.take<AnswerPart>());
    bench.core.handleTarget(bench.now, TargetEndpoint, RunPart{run.attempt, 0, 2, {7}});
    CHECK(bench.take<AnswerPart>()->body == Bytes{7});
    CHECK(bench.take<AnswerPart>()->body == Bytes{8});
}

TEST_CASE("a repeated packet runs nothing twice and gets the same answer again")
{
    Bench bench;
    bench.announce(1, 1);
    const FlowOpened flow = bench.open();
    const Request request = bench.request(flow, 1);
    bench.send(request);
    const RunRequest run = bench.take<RunRequest>().value();
    bench.send(request);
    CHECK_FALSE(bench.take<RunRequest>());
    bench.core.handleTarget(bench.now, TargetEndpoint, RunPart{run.attempt, 0, 1, {7}});
    CHECK(bench.take<AnswerPart>()->body == Bytes{7});
    bench.send(request);
    CHECK(bench.take<AnswerPart>()->body == Bytes{7});
    bench.pass(AnswerCacheTime * 2);
    bench.announce(1, 2);
    bench.send(request);
    CHECK(bench.take<Refusal>()->outcome == Outcome::OutcomeUnknown);
}

TEST_CASE("a packet of one service never reaches another")
{
    Bench bench;
    bench.announce(1, 1);
    const FlowOpened flow = bench.open();
    bench.send(bench.request(flow, 1), DocVault);
    CHECK_FALSE(bench.take<RunRequest>());
    CHECK(bench.rejected(RejectReason::WrongService) == 1);
    Request forged = bench.request(flow, 2);
    forged.connectionId[10] ^= 1;
    bench.send(forged);
    CHECK(bench.rejected(RejectReason::ForgedId) == 1);
    bench.send(bench.request(flow, 3), ServiceId{9});
    CHECK(bench.rejected(RejectReason::UnknownService) == 1);
    bench.send(Heartbeat{});
    CHECK(bench.rejected(RejectReason::UnexpectedType) == 1);
}

TEST_CASE("a refused attempt is retried at another target, and with none left it did not run")
{
    Bench bench;
    bench.announce(1, 1);
    bench.announce(2, 1);
    const FlowOpened flow = bench.open();
    bench.send(bench.request(flow, 1));
    const RunRequest first = bench.take<RunRequest>().value();
    bench.core.handleTarget(bench.now, TargetEndpoint, RunRefused{first.attempt});
    const RunRequest second = bench.take<RunRequest>().value();
    CHECK(second.attempt != first.attempt);
    bench.core.handleTarget(bench.now, TargetEndpoint, RunRefused{second.attempt});
    const Refusal refusal = bench.take<Refusal>().value();
    CHECK(refusal.outcome == Outcome::NotRun);
    CHECK(refusal.retryAfter > Duration(0));
}

TEST_CASE("without any target the refusal comes at once, with when to come back")
{
    Bench bench;
    const FlowOpened flow = bench.open();
    bench.send(bench.request(flow, 1));
    const Refusal refusal = bench.take<Refusal>().value();
    CHECK(refusal.outcome == Outcome::NotRun);
    CHECK(refusal.reason == RefusalReason::NoTarget);
    CHECK(refusal.retryAfter == NoTargetRetryAfter);
}

TEST_CASE("a request whose target is lost is unknown at once, and never run again")
{
    Bench bench;
    bench.announce(1, 1);
    const FlowOpened flow = bench.open();
    Request request = bench.request(flow, 1);
    request.timeLeft = seconds(30);
    bench.send(request);
    const RunRequest run = bench.take<RunRequest>().value();
    bench.pass(TargetLease);
    CHECK(bench.take<Refusal>()->outcome == Outcome::OutcomeUnknown);
    bench.core.handleTarget(bench.now, TargetEndpoint, RunPart{run.attempt, 0, 1, {7}});
    CHECK_FALSE(bench.take<AnswerPart>());
}

TEST_CASE("a cancelled request is cancelled at the target, and one that waits did not run")
{
    Bench bench;
    bench.announce(1, 1);
    const FlowOpened flow = bench.open();
    bench.send(bench.request(flow, 1));
    const RunRequest run = bench.take<RunRequest>().value();
    bench.send(bench.request(flow, 2));
    bench.send(CancelRequest{flow.connectionId, RequestId{2}});
    CHECK(bench.take<Refusal>()->outcome == Outcome::NotRun);
    bench.send(CancelRequest{flow.connectionId, RequestId{1}});
    CHECK(bench.take<CancelRun>()->attempt == run.attempt);
    CHECK(bench.take<Refusal>()->outcome == Outcome::OutcomeUnknown);
}

TEST_CASE("at its deadline a request that waits did not run, and one that runs is unknown")
{
    Bench bench;
    bench.announce(1, 1);
    bench.timeLeft = milliseconds(300);
    const FlowOpened flow = bench.open();
    bench.send(bench.request(flow, 1));
    bench.send(bench.request(flow, 2));
    bench.pass(bench.timeLeft);
    CHECK(bench.take<CancelRun>());
    CHECK(bench.take<Refusal>()->outcome == Outcome::OutcomeUnknown);
    const Refusal waiting = bench.take<Refusal>().value();
    CHECK(waiting.request == RequestId{2});
    CHECK(waiting.outcome == Outcome::NotRun);
}

TEST_CASE("an attempt that takes far too long gives its slot to the next request")
{
    Bench bench;
    bench.announce(1, 1);
    const FlowOpened flow = bench.open();
    bench.send(bench.request(flow, 1));
    const RunRequest first = bench.take<RunRequest>().value();
    bench.send(bench.request(flow, 2));
    CHECK_FALSE(bench.take<RunRequest>());
    bench.pass(milliseconds(500));
    CHECK(bench.take<RunRequest>());
    bench.core.handleTarget(bench.now, TargetEndpoint, RunPart{first.attempt, 0, 1, {7}});
    CHECK(bench.take<AnswerPart>()->request == RequestId{1});
}

TEST_CASE("a request too large is refused, and the process goes on")
{
    Bench bench;
    bench.announce(1, 1);
    const FlowOpened flow = bench.open();
    Request request = bench.request(flow, 1);
    request.body.resize(MaxBodySize + 1);
    bench.send(request);
    CHECK(bench.take<Refusal>()->reason == RefusalReason::BadRequest);
}

TEST_CASE("a feed goes on at another target without a gap or a repeat when its target drains")
{
    Bench bench;
    bench.announce(1, 1);
    const FlowOpened flow = bench.open();
    bench.send(PollFeed{flow.connectionId, 0});
    const AttachFeed first = bench.take<AttachFeed>().value();
    CHECK(first.nextSequence == 1);
    for (std::uint64_t sequence : {1, 2, 2, 4}) {
        bench.core.handleTarget(bench.now, TargetEndpoint, FeedPush{first.attachment, flow.flow, sequence, {}});
    }
    CHECK(bench.take<FeedItem>()->sequence == 1);
    CHECK(bench.take<FeedItem>()->sequence == 2);
    CHECK_FALSE(bench.take<FeedItem>());
    bench.announce(2, 1);
    bench.announce(1, 2, true);
    CHECK(bench.take<DetachFeed>()->attachment == first.attachment);
    bench.core.handleTarget(bench.now, TargetEndpoint, FeedPush{first.attachment, flow.flow, 3, {}});
    CHECK_FALSE(bench.take<FeedItem>());
    bench.send(PollFeed{flow.connectionId, 2});
    bench.pass(seconds(1));
    bench.send(PollFeed{flow.connectionId, 2});
    const AttachFeed second = bench.take<AttachFeed>().value();
    CHECK(second.nextSequence == 3);
    bench.core.handleTarget(bench.now, TargetEndpoint, FeedPush{second.attachment, flow.flow, 3, {}});
    CHECK(bench.take<FeedItem>()->sequence == 3);
}

TEST_CASE("a packet of a flow whose owner is gone is adopted; its request is unknown and not run")
{
    Bench other(2);
    const FlowOpened flow = other.open();
    Bench bench;
    bench.announce(1, 1);
    bench.send(bench.request(flow, 1));
    const FlowMoved moved = bench.take<FlowMoved>().value();
    CHECK(moved.previous == flow.flow);
    CHECK(moved.flow != flow.flow);
    CHECK(bench.take<Refusal>()->outcome == Outcome::OutcomeUnknown);
    CHECK_FALSE(bench.take<RunRequest>());
    const FlowOpened adopted{0, moved.flow, moved.connectionId};
    bench.send(bench.request(adopted, 2));
    CHECK(bench.take<RunRequest>());
}

TEST_CASE("a stopping balancer hands its flows on and runs nothing on them afterwards")
{
    Bench bench;
    bench.announce(1, 1);
    const FlowOpened flow = bench.open();
    Heartbeat heartbeat;
    heartbeat.sender = {BalancerId{2}, Incarnation{1}};
    heartbeat.counter = 1;
    bench.core.handlePeer(bench.now, {}, heartbeat);
    bench.core.stop(bench.now, seconds(1));
    bench.send(bench.request(flow, 1));
    const RunRequest run = bench.take<RunRequest>().value();
    heartbeat.counter = 2;
    bench.pass(milliseconds(900));
    bench.core.handlePeer(bench.now, {}, heartbeat);
    bench.pass(milliseconds(200));
    CHECK_FALSE(bench.take<HandoverFlows>());
    bench.core.handleTarget(bench.now, TargetEndpoint, RunPart{run.attempt, 0, 1, {7}});
    CHECK(bench.take<AnswerPart>());
    bench.pass(milliseconds(20));
    const HandoverFlows handover = bench.take<HandoverFlows>().value();
    REQUIRE(handover.flows.size() == 1);
    CHECK(handover.flows[0].highestRequest == 1);
    bench.send(bench.request(flow, 2));
    CHECK_FALSE(bench.take<RunRequest>());

    Bench successor(2);
    successor.announce(1, 1);
    successor.core.handlePeer(successor.now, {}, handover);
    CHECK(successor.take<FlowMoved>()->flow == flow.flow);
    CHECK(successor.take<HandoverReceived>());
    successor.send(successor.request(flow, 1));
    CHECK_FALSE(successor.take<RunRequest>());
    successor.send(successor.request(flow, 2));
    CHECK(successor.take<RunRequest>());
}

TEST_CASE("a restarted target, whose sequence begins anew, is renewed by gossip like the others")
{
    Bench bench;
    Heartbeat heartbeat;
    heartbeat.sender = {BalancerId{2}, Incarnation{1}};
    const auto renewedSequence = [&](std::uint64_t incarnation, std::uint64_t sequence) {
        Announcement announcement;
        announcement.target = TargetId{1};
        announcement.service = RateDesk;
        announcement.incarnation = Incarnation{incarnation};
        announcement.sequence = sequence;
        announcement.slots = 1;
        bench.core.handleTarget(bench.now, TargetEndpoint, announcement);
        std::uint64_t found = 0;
        for (int beat = 0; beat < 8; ++beat) {
            ++heartbeat.counter;
            bench.core.handlePeer(bench.now, {}, heartbeat);
            bench.pass(HeartbeatInterval);
            while (const auto sent = bench.take<Heartbeat>()) {
                found = sent->renewals.empty() ? found : sent->renewals.front().sequence;
            }
        }
        return found;
    };
    CHECK(renewedSequence(1, 500) == 500);
    CHECK(renewedSequence(2, 1) == 1);
    CHECK(renewedSequence(2, 2) == 2);
}

TEST_CASE("an offload runs at most once, and only at the run that it names")
{
    Bench bench;
    bench.announce(1, 1);
    OffloadRequest offload;
    offload.attempt = {{BalancerId{2}, Incarnation{1}}, 9};
    offload.executor = {BalancerId{1}, Incarnation{1}};
    offload.service = RateDesk;
    offload.timeLeft = seconds(1);
    bench.core.handlePeer(bench.now, {}, offload);
    const RunRequest run = bench.take<RunRequest>().value();
    bench.core.handleTarget(bench.now, TargetEndpoint, RunPart{run.attempt, 0, 1, {7}});
    CHECK(bench.take<RunPart>()->attempt == offload.attempt);
    bench.core.handlePeer(bench.now, {}, offload);
    CHECK_FALSE(bench.take<RunRequest>());
    offload.attempt.serial = 10;
    offload.executor.incarnation = Incarnation{0};
    bench.core.handlePeer(bench.now, {}, offload);
    CHECK_FALSE(bench.take<RunRequest>());
}

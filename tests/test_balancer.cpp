// SPDX-License-Identifier: MIT
// Balancer core: single cases through its packets, with the test in the place of caller, target and peer.
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

// One balancer with its clock and its outbox.
class BalancerFixture
{
public:
    explicit BalancerFixture(std::uint16_t id = 1)
        : core(settingsOf(id))
    {
        const ServiceSettings services[] = {{RateDesk, "rate-desk"}, {DocVault, "doc-vault"}};
        core.applyBundle(now, 1, services);
        advance(Duration(0));
    }

    static BalancerSettings settingsOf(std::uint16_t id)
    {
        BalancerSettings settings;
        settings.self = {BalancerId{id}, Incarnation{1}};
        settings.peers = {{BalancerId{1}, {0x7f000101, 5000}}, {BalancerId{2}, {0x7f000102, 5000}}};
        settings.connectionIdKeys = {{1, {1}}};
        return settings;
    }

    void advance(Duration duration)
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
        advance(Duration(0));
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

    // Returns the first message of a type in the outbox, and discards all before it.
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
    Duration timeLeft = seconds(5); // Of requests made from now on.
    BalancerCore<PartitionedSlots> core;

private:
    std::vector<Message> m_seen;
};

} // namespace

TEST_CASE("a request is answered with all its parts")
{
    BalancerFixture fixture;
    fixture.announce(1, 1);
    const FlowOpened flow = fixture.open();
    fixture.send(fixture.request(flow, 1));
    const RunRequest run = fixture.take<RunRequest>().value();
    fixture.core.handleTarget(fixture.now, TargetEndpoint, RunPart{run.attempt, 1, 2, {8}});
    CHECK_FALSE(fixture.take<AnswerPart>());
    fixture.core.handleTarget(fixture.now, TargetEndpoint, RunPart{run.attempt, 0, 2, {7}});
    CHECK(fixture.take<AnswerPart>()->body == Bytes{7});
    CHECK(fixture.take<AnswerPart>()->body == Bytes{8});
}

TEST_CASE("a repeated packet runs no request twice and gets the same answer again")
{
    BalancerFixture fixture;
    fixture.announce(1, 1);
    const FlowOpened flow = fixture.open();
    const Request request = fixture.request(flow, 1);
    fixture.send(request);
    const RunRequest run = fixture.take<RunRequest>().value();
    fixture.send(request);
    CHECK_FALSE(fixture.take<RunRequest>());
    fixture.core.handleTarget(fixture.now, TargetEndpoint, RunPart{run.attempt, 0, 1, {7}});
    CHECK(fixture.take<AnswerPart>()->body == Bytes{7});
    fixture.send(request);
    CHECK(fixture.take<AnswerPart>()->body == Bytes{7});
    fixture.advance(AnswerCacheTime * 2);
    fixture.announce(1, 2);
    fixture.send(request);
    CHECK(fixture.take<Refusal>()->outcome == Outcome::OutcomeUnknown);
}

TEST_CASE("a packet of one service never reaches another")
{
    BalancerFixture fixture;
    fixture.announce(1, 1);
    const FlowOpened flow = fixture.open();
    fixture.send(fixture.request(flow, 1), DocVault);
    CHECK_FALSE(fixture.take<RunRequest>());
    CHECK(fixture.rejected(RejectReason::WrongService) == 1);
    Request forged = fixture.request(flow, 2);
    forged.connectionId[10] ^= 1;
    fixture.send(forged);
    CHECK(fixture.rejected(RejectReason::ForgedId) == 1);
    fixture.send(fixture.request(flow, 3), ServiceId{9});
    CHECK(fixture.rejected(RejectReason::UnknownService) == 1);
    fixture.send(Heartbeat{});
    CHECK(fixture.rejected(RejectReason::UnexpectedType) == 1);
}

TEST_CASE("a refused attempt is retried at another target, and with none left reported as not run")
{
    BalancerFixture fixture;
    fixture.announce(1, 1);
    fixture.announce(2, 1);
    const FlowOpened flow = fixture.open();
    fixture.send(fixture.request(flow, 1));
    const RunRequest first = fixture.take<RunRequest>().value();
    fixture.core.handleTarget(fixture.now, TargetEndpoint, RunRefused{first.attempt});
    const RunRequest second = fixture.take<RunRequest>().value();
    CHECK(second.attempt != first.attempt);
    fixture.core.handleTarget(fixture.now, TargetEndpoint, RunRefused{second.attempt});
    const Refusal refusal = fixture.take<Refusal>().value();
    CHECK(refusal.outcome == Outcome::NotRun);
    CHECK(refusal.retryAfter > Duration(0));
}

TEST_CASE("without any target a request is refused at once, with a retry-after")
{
    BalancerFixture fixture;
    const FlowOpened flow = fixture.open();
    fixture.send(fixture.request(flow, 1));
    const Refusal refusal = fixture.take<Refusal>().value();
    CHECK(refusal.outcome == Outcome::NotRun);
    CHECK(refusal.reason == RefusalReason::NoTarget);
    CHECK(refusal.retryAfter == NoTargetRetryAfter);
}

TEST_CASE("a request whose target is lost ends with an unknown outcome at once, and is never run again")
{
    BalancerFixture fixture;
    fixture.announce(1, 1);
    const FlowOpened flow = fixture.open();
    Request request = fixture.request(flow, 1);
    request.timeLeft = seconds(30);
    fixture.send(request);
    const RunRequest run = fixture.take<RunRequest>().value();
    fixture.advance(TargetLease);
    CHECK(fixture.take<Refusal>()->outcome == Outcome::OutcomeUnknown);
    fixture.core.handleTarget(fixture.now, TargetEndpoint, RunPart{run.attempt, 0, 1, {7}});
    CHECK_FALSE(fixture.take<AnswerPart>());
}

TEST_CASE("a cancelled request is cancelled at the target, and a queued one is reported as not run")
{
    BalancerFixture fixture;
    fixture.announce(1, 1);
    const FlowOpened flow = fixture.open();
    fixture.send(fixture.request(flow, 1));
    const RunRequest run = fixture.take<RunRequest>().value();
    fixture.send(fixture.request(flow, 2));
    fixture.send(CancelRequest{flow.connectionId, RequestId{2}});
    CHECK(fixture.take<Refusal>()->outcome == Outcome::NotRun);
    fixture.send(CancelRequest{flow.connectionId, RequestId{1}});
    CHECK(fixture.take<CancelRun>()->attempt == run.attempt);
    CHECK(fixture.take<Refusal>()->outcome == Outcome::OutcomeUnknown);
}

TEST_CASE("at its deadline a queued request is reported as not run, and a running one as unknown")
{
    BalancerFixture fixture;
    fixture.announce(1, 1);
    fixture.timeLeft = milliseconds(300);
    const FlowOpened flow = fixture.open();
    fixture.send(fixture.request(flow, 1));
    fixture.send(fixture.request(flow, 2));
    fixture.advance(fixture.timeLeft);
    CHECK(fixture.take<CancelRun>());
    CHECK(fixture.take<Refusal>()->outcome == Outcome::OutcomeUnknown);
    const Refusal waiting = fixture.take<Refusal>().value();
    CHECK(waiting.request == RequestId{2});
    CHECK(waiting.outcome == Outcome::NotRun);
}

TEST_CASE("an attempt that exceeds the slot hold time releases its slot to the next request")
{
    BalancerFixture fixture;
    fixture.announce(1, 1);
    const FlowOpened flow = fixture.open();
    fixture.send(fixture.request(flow, 1));
    const RunRequest first = fixture.take<RunRequest>().value();
    fixture.send(fixture.request(flow, 2));
    CHECK_FALSE(fixture.take<RunRequest>());
    fixture.advance(milliseconds(500));
    CHECK(fixture.take<RunRequest>());
    fixture.core.handleTarget(fixture.now, TargetEndpoint, RunPart{first.attempt, 0, 1, {7}});
    CHECK(fixture.take<AnswerPart>()->request == RequestId{1});
}

TEST_CASE("a request with too large a body is refused")
{
    BalancerFixture fixture;
    fixture.announce(1, 1);
    const FlowOpened flow = fixture.open();
    Request request = fixture.request(flow, 1);
    request.body.resize(MaxBodySize + 1);
    fixture.send(request);
    CHECK(fixture.take<Refusal>()->reason == RefusalReason::BadRequest);
}

TEST_CASE("a feed goes on at another target without gaps or duplicates when its target drains")
{
    BalancerFixture fixture;
    fixture.announce(1, 1);
    const FlowOpened flow = fixture.open();
    fixture.send(PollFeed{flow.connectionId, 0});
    const AttachFeed first = fixture.take<AttachFeed>().value();
    CHECK(first.nextSequence == 1);
    for (std::uint64_t sequence : {1, 2, 2, 4}) {
        fixture.core.handleTarget(fixture.now, TargetEndpoint, FeedPush{first.attachment, flow.flow, sequence, {}});
    }
    CHECK(fixture.take<FeedItem>()->sequence == 1);
    CHECK(fixture.take<FeedItem>()->sequence == 2);
    CHECK_FALSE(fixture.take<FeedItem>());
    fixture.announce(2, 1);
    fixture.announce(1, 2, true);
    CHECK(fixture.take<DetachFeed>()->attachment == first.attachment);
    fixture.core.handleTarget(fixture.now, TargetEndpoint, FeedPush{first.attachment, flow.flow, 3, {}});
    CHECK_FALSE(fixture.take<FeedItem>());
    fixture.send(PollFeed{flow.connectionId, 2});
    fixture.advance(seconds(1));
    fixture.send(PollFeed{flow.connectionId, 2});
    const AttachFeed second = fixture.take<AttachFeed>().value();
    CHECK(second.nextSequence == 3);
    fixture.core.handleTarget(fixture.now, TargetEndpoint, FeedPush{second.attachment, flow.flow, 3, {}});
    CHECK(fixture.take<FeedItem>()->sequence == 3);
}

TEST_CASE("a flow whose owner is gone is adopted; its request is not run, and its outcome is unknown")
{
    BalancerFixture other(2);
    const FlowOpened flow = other.open();
    BalancerFixture fixture;
    fixture.announce(1, 1);
    fixture.send(fixture.request(flow, 1));
    const FlowMoved moved = fixture.take<FlowMoved>().value();
    CHECK(moved.previous == flow.flow);
    CHECK(moved.flow != flow.flow);
    CHECK(fixture.take<Refusal>()->outcome == Outcome::OutcomeUnknown);
    CHECK_FALSE(fixture.take<RunRequest>());
    const FlowOpened adopted{0, moved.flow, moved.connectionId};
    fixture.send(fixture.request(adopted, 2));
    CHECK(fixture.take<RunRequest>());
}

TEST_CASE("a stopping balancer hands its flows over and runs no request of them afterwards")
{
    BalancerFixture fixture;
    fixture.announce(1, 1);
    const FlowOpened flow = fixture.open();
    Heartbeat heartbeat;
    heartbeat.sender = {BalancerId{2}, Incarnation{1}};
    heartbeat.counter = 1;
    fixture.core.handlePeer(fixture.now, {}, heartbeat);
    fixture.core.stop(fixture.now, seconds(1));
    fixture.send(fixture.request(flow, 1));
    const RunRequest run = fixture.take<RunRequest>().value();
    heartbeat.counter = 2;
    fixture.advance(milliseconds(900));
    fixture.core.handlePeer(fixture.now, {}, heartbeat);
    fixture.advance(milliseconds(200));
    CHECK_FALSE(fixture.take<HandoverFlows>());
    fixture.core.handleTarget(fixture.now, TargetEndpoint, RunPart{run.attempt, 0, 1, {7}});
    CHECK(fixture.take<AnswerPart>());
    fixture.advance(milliseconds(20));
    const HandoverFlows handover = fixture.take<HandoverFlows>().value();
    REQUIRE(handover.flows.size() == 1);
    CHECK(handover.flows[0].highestRequest == 1);
    fixture.send(fixture.request(flow, 2));
    CHECK_FALSE(fixture.take<RunRequest>());

    BalancerFixture successor(2);
    successor.announce(1, 1);
    successor.core.handlePeer(successor.now, {}, handover);
    CHECK(successor.take<FlowMoved>()->flow == flow.flow);
    CHECK(successor.take<HandoverReceived>());
    successor.send(successor.request(flow, 1));
    CHECK_FALSE(successor.take<RunRequest>());
    successor.send(successor.request(flow, 2));
    CHECK(successor.take<RunRequest>());
}

TEST_CASE("gossip renews a restarted target although its sequence starts again at a lower number")
{
    BalancerFixture fixture;
    Heartbeat heartbeat;
    heartbeat.sender = {BalancerId{2}, Incarnation{1}};
    const auto renewedSequence = [&](std::uint64_t incarnation, std::uint64_t sequence) {
        Announcement announcement;
        announcement.target = TargetId{1};
        announcement.service = RateDesk;
        announcement.incarnation = Incarnation{incarnation};
        announcement.sequence = sequence;
        announcement.slots = 1;
        fixture.core.handleTarget(fixture.now, TargetEndpoint, announcement);
        std::uint64_t found = 0;
        for (int beat = 0; beat < 8; ++beat) {
            ++heartbeat.counter;
            fixture.core.handlePeer(fixture.now, {}, heartbeat);
            fixture.advance(HeartbeatInterval);
            while (const auto sent = fixture.take<Heartbeat>()) {
                found = sent->renewals.empty() ? found : sent->renewals.front().sequence;
            }
        }
        return found;
    };
    CHECK(renewedSequence(1, 500) == 500);
    CHECK(renewedSequence(2, 1) == 1);
    CHECK(renewedSequence(2, 2) == 2);
}

TEST_CASE("an offload runs at most once, and only at the incarnation that it names")
{
    BalancerFixture fixture;
    fixture.announce(1, 1);
    OffloadRequest offload;
    offload.attempt = {{BalancerId{2}, Incarnation{1}}, 9};
    offload.executor = {BalancerId{1}, Incarnation{1}};
    offload.service = RateDesk;
    offload.timeLeft = seconds(1);
    fixture.core.handlePeer(fixture.now, {}, offload);
    const RunRequest run = fixture.take<RunRequest>().value();
    fixture.core.handleTarget(fixture.now, TargetEndpoint, RunPart{run.attempt, 0, 1, {7}});
    CHECK(fixture.take<RunPart>()->attempt == offload.attempt);
    fixture.core.handlePeer(fixture.now, {}, offload);
    CHECK_FALSE(fixture.take<RunRequest>());
    offload.attempt.serial = 10;
    offload.executor.incarnation = Incarnation{0};
    fixture.core.handlePeer(fixture.now, {}, offload);
    CHECK_FALSE(fixture.take<RunRequest>());
}

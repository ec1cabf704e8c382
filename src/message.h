// SPDX-License-Identifier: MIT
// Messages of the data path: between callers, balancers and targets, one UDP datagram each.
#pragma once

#include "connection_id.h"

#include <optional>
#include <string>
#include <tuple>
#include <variant>

namespace Robinrail {

// Largest datagram that is sent or accepted, bytes. Fits an Ethernet frame, so nothing is fragmented.
inline constexpr std::size_t MaxDatagramSize = 1452;

// Largest request or answer part body, bytes; leaves room for two nested headers.
inline constexpr std::size_t MaxBodySize = 1024;

// Most parts that one answer may have.
inline constexpr std::uint16_t MaxAnswerParts = 64;

// How a request ended. Exactly one of these reaches the caller.
enum class Outcome : std::uint8_t {
    Answered,
    NotRun, // A promise: no target ever started it, and none will.
    OutcomeUnknown, // It may have run; it will not be run again.
    DeadlinePassed, // Only for repeatable requests: it may have run, and repeating it is harmless.
};

// Why a request was refused; for people and metrics, never for decisions of the caller.
enum class RefusalReason : std::uint8_t {
    Overload,
    NoTarget,
    OwnerGone,
    ForgottenFlow,
    TargetLost,
    Deadline,
    Cancelled,
    BadRequest,
};

// ---- Callers ----

// Opens a flow. The nonce lets the caller match the answer; it is not trusted.
struct OpenFlow {
    std::uint64_t nonce = 0;

    auto fields()
    {
        return std::tie(nonce);
    }
};

struct FlowOpened {
    std::uint64_t nonce = 0;
    FlowId flow{};
    SealedConnectionId connectionId{};

    auto fields()
    {
        return std::tie(nonce, flow, connectionId);
    }
};

// A request on an open flow. timeLeft is what remains of its deadline, so clocks need not agree.
struct Request {
    SealedConnectionId connectionId{};
    RequestId request{};
    bool repeatable = false;
    Duration timeLeft{};
    Bytes body;

    auto fields()
    {
        return std::tie(connectionId, request, repeatable, timeLeft, body);
    }
};

struct CancelRequest {
    SealedConnectionId connectionId{};
    RequestId request{};

    auto fields()
    {
        return std::tie(connectionId, request);
    }
};

// Subscribes to the feed of the flow and keeps it alive; acknowledges every item up to `acknowledged`.
struct PollFeed {
    SealedConnectionId connectionId{};
    std::uint64_t acknowledged = 0;

    auto fields()
    {
        return std::tie(connectionId, acknowledged);
    }
};

// One part of an answer. Parts of different attempts never mix, as `attempt` tells them apart.
struct AnswerPart {
    FlowId flow{};
    RequestId request{};
    std::uint64_t attempt = 0;
    std::uint16_t index = 0;
    std::uint16_t count = 0;
    Bytes body;

    auto fields()
    {
        return std::tie(flow, request, attempt, index, count, body);
    }
};

// The final answer to a request that was given up on. It is sent at once; retryAfter says when
// asking again makes sense.
struct Refusal {
    FlowId flow{};
    RequestId request{};
    Outcome outcome = Outcome::NotRun;
    RefusalReason reason = RefusalReason::Overload;
    Duration retryAfter{};

    auto fields()
    {
        return std::tie(flow, request, outcome, reason, retryAfter);
    }
};

struct FeedItem {
    FlowId flow{};
    std::uint64_t sequence = 0;
    Bytes body;

    auto fields()
    {
        return std::tie(flow, sequence, body);
    }
};

// The flow has another owner from now on, and maybe another number; the caller uses the new id in
// later packets.
struct FlowMoved {
    FlowId previous{};
    FlowId flow{};
    SealedConnectionId connectionId{};

    auto fields()
    {
        return std::tie(previous, flow, connectionId);
    }
};

// ---- Targets ----

// One attempt to run a request or one feed attachment, named by the balancer run that made it.
struct AttemptKey {
    BalancerKey owner;
    std::uint64_t serial = 0;

    auto operator<=>(const AttemptKey &) const = default;

    auto fields()
    {
        return std::tie(owner, serial);
    }
};

// A target announces itself to any balancer, again and again; nobody lists targets anywhere else.
// `sequence` grows with every announcement of one incarnation. `reportedRunning` may lag or lie and
// is shown to operators only.
struct Announcement {
    TargetId target{};
    ServiceId service{};
    DataCentreId dataCentre{};
    Endpoint endpoint;
    Incarnation incarnation{};
    std::uint64_t sequence = 0;
    std::uint16_t slots = 0;
    std::uint16_t connections = 0;
    bool draining = false;
    std::uint16_t reportedRunning = 0;

    auto fields()
    {
        return std::tie(target, service, dataCentre, endpoint, incarnation, sequence, slots, connections, draining, reportedRunning);
    }
};

struct RunRequest {
    AttemptKey attempt;
    Duration timeLeft{};
    Bytes body;

    auto fields()
    {
        return std::tie(attempt, timeLeft, body);
    }
};

struct CancelRun {
    AttemptKey attempt;

    auto fields()
    {
        return std::tie(attempt);
    }
};

struct RunPart {
    AttemptKey attempt;
    std::uint16_t index = 0;
    std::uint16_t count = 0;
    Bytes body;

    auto fields()
    {
        return std::tie(attempt, index, count, body);
    }
};

// The target did not start the attempt and will not: it is full or draining.
struct RunRefused {
    AttemptKey attempt;

    auto fields()
    {
        return std::tie(attempt);
    }
};

// Asks the target to push feed items from nextSequence on, naming the attachment in each. The target
// answers with FeedAttached at once, as the feed itself may be quiet.
struct AttachFeed {
    AttemptKey attachment;
    FlowId flow{};
    std::uint64_t nextSequence = 1;

    auto fields()
    {
        return std::tie(attachment, flow, nextSequence);
    }
};

struct FeedAttached {
    AttemptKey attachment;
    FlowId flow{};

    auto fields()
    {
        return std::tie(attachment, flow);
    }
};

struct DetachFeed {
    AttemptKey attachment;

    auto fields()
    {
        return std::tie(attachment);
    }
};

struct FeedPush {
    AttemptKey attachment;
    FlowId flow{};
    std::uint64_t sequence = 0;
    Bytes body;

    auto fields()
    {
        return std::tie(attachment, flow, sequence, body);
    }
};

// ---- Balancers ----

// A packet that belongs to another balancer, passed on as it came. Piggybacks the sender's free slots
// of the service, so that load hints cost no control traffic.
struct RelayedPacket {
    BalancerKey relay;
    ServiceId service{};
    Endpoint caller;
    std::uint8_t hops = 0;
    std::uint16_t freeSlots = 0;
    Bytes packet;

    auto fields()
    {
        return std::tie(relay, service, caller, hops, freeSlots, packet);
    }
};

// Asks one balancer run to spend one of its slots on an attempt of the sender. A restarted receiver
// is another incarnation and ignores it, which keeps a late duplicate from running twice.
struct OffloadRequest {
    AttemptKey attempt;
    BalancerKey executor;
    ServiceId service{};
    Duration timeLeft{};
    Bytes body;

    auto fields()
    {
        return std::tie(attempt, executor, service, timeLeft, body);
    }
};

// One target's announcement in a heartbeat. Its age keeps gossip from prolonging a lease, and knownFor
// keeps a balancer that joins from starting a warm target slowly.
struct GossipedAnnouncement {
    Announcement announcement;
    Duration age{};
    Duration knownFor{};

    auto fields()
    {
        return std::tie(announcement, age, knownFor);
    }
};

// Renewal of a target that the receiver already knows; a fifth of the size of its announcement. Only the
// low bits of the incarnation are sent: another incarnation is announced in full before it is renewed.
struct TargetRenewal {
    TargetId target{};
    std::uint16_t incarnationBits = 0;
    std::uint64_t sequence = 0;
    std::uint16_t ageMilliseconds = 0;

    auto fields()
    {
        return std::tie(target, incarnationBits, sequence, ageMilliseconds);
    }
};

// Periodic sign of life to peers. `successor` is set once a stopping balancer has handed its flows on.
struct Heartbeat {
    BalancerKey sender;
    DataCentreId dataCentre{};
    std::uint64_t counter = 0;
    bool stopping = false;
    std::optional<BalancerKey> successor;
    std::uint64_t bundleVersion = 0;
    std::vector<GossipedAnnouncement> announcements;
    std::vector<TargetRenewal> renewals;

    auto fields()
    {
        return std::tie(sender, dataCentre, counter, stopping, successor, bundleVersion, announcements, renewals);
    }
};

// State of one flow that moves to the successor of a stopping balancer.
struct FlowHandover {
    FlowId flow{};
    ServiceId service{};
    TargetId target{};
    Endpoint caller;
    std::uint32_t highestRequest = 0;
    std::uint64_t requestWindow = 0;
    bool hasFeed = false;
    std::uint64_t nextSequence = 1;

    auto fields()
    {
        return std::tie(flow, service, target, caller, highestRequest, requestWindow, hasFeed, nextSequence);
    }
};

// The sender has already fenced these flows off: it will not run anything on them again.
struct HandoverFlows {
    BalancerKey from;
    BalancerKey to;
    std::vector<FlowHandover> flows;

    auto fields()
    {
        return std::tie(from, to, flows);
    }
};

struct HandoverReceived {
    BalancerKey from;
    std::vector<FlowId> flows;

    auto fields()
    {
        return std::tie(from, flows);
    }
};

using Message = std::variant<OpenFlow,
                             FlowOpened,
                             Request,
                             CancelRequest,
                             PollFeed,
                             AnswerPart,
                             Refusal,
                             FeedItem,
                             FlowMoved,
                             Announcement,
                             RunRequest,
                             CancelRun,
                             RunPart,
                             RunRefused,
                             AttachFeed,
                             FeedAttached,
                             DetachFeed,
                             FeedPush,
                             RelayedPacket,
                             OffloadRequest,
                             Heartbeat,
                             HandoverFlows,
                             HandoverReceived>;

} // namespace Robinrail

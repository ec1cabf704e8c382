// SPDX-License-Identifier: MIT
// Messages of the data path between callers, balancers and targets; each is one UDP datagram.
#pragma once

#include "connection_id.h"

#include <optional>
#include <string>
#include <tuple>
#include <variant>

namespace Robinrail {

// Maximum size of a datagram that is sent or accepted, bytes. Fits into an Ethernet frame, so that IP does not fragment it.
inline constexpr std::size_t MaxDatagramSize = 1452;

// Maximum body size of a request or of one part of an answer, bytes; leaves room for two nested headers.
inline constexpr std::size_t MaxBodySize = 1024;

// Maximum number of parts of an answer.
inline constexpr std::uint16_t MaxAnswerParts = 64;

// Result of a request. The caller gets exactly one of these.
enum class Outcome : std::uint8_t {
    Answered,
    NotRun, // Guaranteed: no target has started the request, and none will.
    OutcomeUnknown, // The request may have run; it will not be run again.
    DeadlinePassed, // Only for repeatable requests: the request may have run, and repeating it is harmless.
};

// Why a request was refused; for operators and metrics. Callers must base no decision on it.
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

// Opens a flow. The caller matches the answer by the nonce, which is not used for authentication.
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

// A request on an open flow. `timeLeft` is the time until its deadline, so that clocks need not be synchronized.
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

// Subscribes to the feed of the flow or renews the subscription; acknowledges all items up to `acknowledged`.
struct PollFeed {
    SealedConnectionId connectionId{};
    std::uint64_t acknowledged = 0;

    auto fields()
    {
        return std::tie(connectionId, acknowledged);
    }
};

// One part of an answer. `attempt` distinguishes the parts of different attempts, which must not be mixed.
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

// The final answer to a request that was not completed. It is sent without delay; `retryAfter` is the time after
// which a repetition is worthwhile.
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

// The flow has a new owner and possibly a new number; the caller uses the new connection id in
// all later packets.
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

// Identifies an attempt to run a request, or a feed attachment, by the balancer incarnation that started it.
struct AttemptKey {
    BalancerKey owner;
    std::uint64_t serial = 0;

    auto operator<=>(const AttemptKey &) const = default;

    auto fields()
    {
        return std::tie(owner, serial);
    }
};

// Periodic announcement of a target to any balancer; targets are not configured anywhere else.
// `sequence` increases with each announcement of an incarnation. `reportedRunning` may be outdated or wrong
// and is only shown to operators.
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

// The target has not started the attempt and will not start it, because it is at capacity or draining.
struct RunRefused {
    AttemptKey attempt;

    auto fields()
    {
        return std::tie(attempt);
    }
};

// Asks the target to push the feed items from nextSequence on, each with the id of this attachment. The target
// answers with FeedAttached at once, because the feed itself may have no items for a long time.
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

// A packet forwarded unchanged to the balancer that owns its flow. Piggybacks the sender's free slots of
// the service, so that load hints need no control traffic of their own.
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

// Asks a balancer to run an attempt of the sender on one of its own slots. It is addressed to one incarnation: a
// balancer that has restarted since ignores it, so that a late duplicate does not run twice.
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

// Announcement of one target in a heartbeat. With `age`, passing it on does not extend the lease of the target. With
// `knownFor`, a balancer that joins does not apply slow start to a target that is already warm.
struct GossipedAnnouncement {
    Announcement announcement;
    Duration age{};
    Duration knownFor{};

    auto fields()
    {
        return std::tie(announcement, age, knownFor);
    }
};

// Renews the lease of a target that the receiver already knows; a fifth of the size of an announcement. The low
// bits of the incarnation suffice, because a new incarnation is announced in full before it is renewed.
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

// Periodic heartbeat to peers. `successor` is set once a stopping balancer has handed over its flows.
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

// State of one flow that is handed over to the successor of a stopping balancer.
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

// Hands flows over. The sender has already fenced them and starts no further attempts on them.
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

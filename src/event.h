// SPDX-License-Identifier: MIT
// Events: trace of what the balancer did, for the administration API and the log.
#pragma once

#include "message.h"

#include <string_view>

namespace Robinrail {

enum class EventKind : std::uint8_t {
    FlowOpened,
    FlowAdopted,
    FlowHandedOver,
    FlowReceived,
    FlowExpired,
    FeedAttached,
    FeedRebound,
    RequestQueued,
    RequestSent,
    RequestOffloaded,
    RequestRetried,
    RequestAnswered,
    RequestRefused,
    TargetJoined,
    TargetDraining,
    TargetLost,
    PeerJoined,
    PeerStopping,
    PeerGone,
    PacketRejected,
    BundleApplied,
};

// One event. Members that do not apply are 0.
struct Event {
    EventKind kind = EventKind::FlowOpened;
    TimePoint at;
    ServiceId service{};
    FlowId flow{};
    RequestId request{};
    TargetId target{};
    BalancerId peer{};
    Duration took{}; // RequestAnswered: from the start of the attempt to its complete answer.
    std::uint8_t detail = 0; // RequestRefused: an Outcome. PacketRejected: a RejectReason.
};

// Why a packet was dropped.
enum class RejectReason : std::uint8_t {
    Malformed,
    Oversized,
    ForgedId,
    WrongService,
    UnknownService,
    UnexpectedType,
    TooManyHops,
    UnknownSender,
};

inline constexpr std::size_t RejectReasonCount = 8;

// Names in logs and metrics, in lower case with dashes; "unknown" for a value without a name.
std::string_view nameOf(EventKind kind);
std::string_view nameOf(RejectReason reason);
std::string_view nameOf(Outcome outcome);
std::string_view nameOf(RefusalReason reason);

} // namespace Robinrail

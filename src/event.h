// SPDX-License-Identifier: MIT
// Events: what each mechanism did, for operators who watch it and for the log.
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

// One event. Numbers that do not apply are 0.
struct Event {
    EventKind kind = EventKind::FlowOpened;
    TimePoint at;
    ServiceId service{};
    FlowId flow{};
    RequestId request{};
    TargetId target{};
    BalancerId peer{};
    Duration took{}; // From the attempt to its whole answer, for RequestAnswered.
    std::uint8_t detail = 0; // An Outcome for RequestRefused, a RejectReason for PacketRejected.
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

// Names for logs and metrics, in lower case with dashes.
std::string_view nameOf(EventKind kind);
std::string_view nameOf(RejectReason reason);
std::string_view nameOf(Outcome outcome);
std::string_view nameOf(RefusalReason reason);

} // namespace Robinrail

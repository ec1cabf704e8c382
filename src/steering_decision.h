// SPDX-License-Identifier: MIT
// Steering decision: what becomes of a packet, and why.
#pragma once

#include "flow_packet.h"
#include "target_record.h"

#include <string_view>

namespace Robinrail {

enum class SteeringAction : std::uint8_t {
    Forward,
    Reset,
    Drop,
    Hold, // To be steered again when more routes or targets are known.
};

enum class SteeringReason : std::uint8_t {
    NewFlow,
    RepeatedOpening, // A duplicate or a retransmission; goes to the same target.
    OtherTarget, // A retransmission; the first target has left or is gone, or the flow may not open there any more.
    OpenFlow,
    PinnedFlow, // The token named another target than the one at which the flow is open.
    NoRoute,
    NoTarget,
    RouteDropped,
    TargetLeft,
    TargetGone, // The target was recently marked as gone; the flow may be new to this balancer.
    UnknownToken,
    NotInformed, // This balancer has just started and may not know the route or its targets yet.
    Overloaded, // The targets that may be used, or this balancer's link, can take no more new flows.
    LateOpening, // Queued during a stall: forwarding it could open the flow at a second target.
    PortInUse, // A retransmission from the port of an open flow, which may not open at that flow's target, nor at another one.
};

inline constexpr std::size_t SteeringReasonCount = 15;

std::string_view nameOf(SteeringReason reason);

struct SteeringDecision {
    SteeringAction action = SteeringAction::Drop;
    SteeringReason reason = SteeringReason::UnknownToken;
    TargetKey target{}; // Forward only, like the next two.
    Endpoint address;
    FlowToken token{};
    std::uint32_t resetSequence = 0; // Reset only.
};

} // namespace Robinrail

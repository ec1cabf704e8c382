// SPDX-License-Identifier: MIT
// Flow packet: what a steering balancer sees of one packet from a caller.
#pragma once

#include "types.h"

namespace Robinrail {

// A number in each packet that the balancer writes and both ends echo; it names the flow's target. 0: none.
enum class FlowToken : std::uint32_t {};

struct FlowPacket {
    Endpoint caller;
    Endpoint route; // The address that the caller asked for.
    FlowToken token{};
    std::uint32_t sequence = 0;
    std::uint32_t acknowledged = 0; // Meaningless in an opening packet.
    std::uint16_t dataBytes = 0;
    std::uint8_t copy = 0; // Of an opening packet: how often it was sent before.
    bool opening = false;
    bool closing = false;
    bool reset = false;
    bool late = false; // May have waited while this balancer stood still.
};

// A flow as any balancer recognizes it.
struct FlowKey {
    Endpoint caller;
    Endpoint route;

    bool operator==(const FlowKey &) const = default;
};

} // namespace Robinrail

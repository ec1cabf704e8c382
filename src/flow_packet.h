// SPDX-License-Identifier: MIT
// Flow packet: the header fields that a steering balancer reads from one packet of a caller.
#pragma once

#include "types.h"

#include <algorithm>

namespace Robinrail {

// Identifies the flow's target in each packet: written by the balancer, echoed by caller and target. 0: none.
enum class FlowToken : std::uint32_t {};

struct FlowPacket {
    Endpoint caller;
    Endpoint route; // Destination address of the packet.
    FlowToken token{};
    std::uint32_t sequence = 0;
    std::uint32_t acknowledged = 0; // Undefined in an opening packet.
    std::uint16_t dataBytes = 0;
    std::uint8_t copy = 0; // Opening packets only: 0 for the first transmission, then counts retransmissions.
    bool opening = false;
    bool closing = false;
    bool reset = false;
    Duration maxQueueTime{}; // Upper bound of its time in the receive queue during a stall of this balancer.
};

// Least time between the arrival of one copy of an opening packet and that of the next: the caller retransmits after 200,
// 400 and 800 ms, less the jitter of the network. A copy that is forwarded later than this may open the flow a second time.
inline Duration retransmissionDelay(std::uint8_t copy)
{
    constexpr Duration FirstInterval = std::chrono::milliseconds(200);
    constexpr Duration NetworkJitter = std::chrono::milliseconds(30);
    constexpr unsigned LastCopy = 2;
    return FirstInterval * (1U << std::min<unsigned>(copy, LastCopy)) - NetworkJitter;
}

// Identifies a flow; the same at every balancer.
struct FlowKey {
    Endpoint caller;
    Endpoint route;

    bool operator==(const FlowKey &) const = default;
};

} // namespace Robinrail

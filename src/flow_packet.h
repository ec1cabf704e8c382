// SPDX-License-Identifier: MIT
// Flow packet: what a steering balancer sees of one packet from a caller.
#pragma once

#include "types.h"

#include <algorithm>

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
    Duration waited{}; // At most, while this balancer stood still.
};

// How long a caller waits after a copy of its opening packet until it sends the next one, as far as a balancer may
// count on it: 200, 400 and 800 ms, less what a packet may take on its way. Whoever hands on a copy later than that
// may open the flow a second time.
inline Duration retransmissionDelay(std::uint8_t copy)
{
    constexpr Duration FirstPause = std::chrono::milliseconds(200);
    constexpr Duration Slack = std::chrono::milliseconds(30);
    constexpr unsigned LastCopy = 2;
    return FirstPause * (1U << std::min<unsigned>(copy, LastCopy)) - Slack;
}

// A flow as any balancer recognizes it.
struct FlowKey {
    Endpoint caller;
    Endpoint route;

    bool operator==(const FlowKey &) const = default;
};

} // namespace Robinrail

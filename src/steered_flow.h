// SPDX-License-Identifier: MIT
// Steered flow: what a balancer's flow table knows of one flow.
#pragma once

#include "flow_packet.h"
#include "hash.h"

#include <boost/unordered/unordered_flat_map.hpp>

namespace Robinrail {

// A caller gives up an opening after 1.4 s. An opening packet for the same flow that arrives later belongs to a new flow.
inline constexpr Duration MaxOpeningTime = std::chrono::milliseconds(1400);

// Between two packets of one flow that a balancer sees, the caller sends and acknowledges less than this; others may pass elsewhere.
// Requests are kilobytes large. Initial numbers of callers that follow a clock (RFC 793: 250,000 a second) are further apart for flows
// from the same port, and those of different targets are unrelated. Beyond this a flow is steered by its token, which is seldom wrong.
inline constexpr std::uint32_t MaxSequenceDistance = 1U << 17U;
inline constexpr std::uint32_t MaxAcknowledgedDistance = 1U << 22U;

namespace detail {

struct SteeredFlow {
    FlowToken target{};
    CoarseTime lastSeen;
    CoarseTime sentAt; // When the newest data was forwarded first; before any data, the opening packet.
    std::uint32_t sequence = 0; // Of the newest data.
    std::uint32_t position = 0; // Sequence number of the last packet, if the flow is open.
    std::uint32_t acknowledged = 0;
    std::uint8_t copy = 0; // The newest copy of the opening packet.
    bool open = false;
    bool busy = false;
    bool retransmitted = false; // The newest data was sent more than once.
    bool counted = false; // Included in SteeredTarget::flows.
    bool refused = false; // Its opening packet was refused before any target has seen it.
    bool openingSeenHere = false; // Its opening packet came through here, at sentAt, and no other packet has since.
    bool openElsewhere = false; // Another balancer reported that it is open at the target.
    bool openPinSent = false; // The other balancers know at which target it is open.
    bool copiesElsewhere = false; // Earlier copies of its opening packet may have reached another target.

    // Whether the flow is open at `target`, whatever its token names.
    bool isFixed() const
    {
        return open || openElsewhere;
    }

    // Whether a packet may belong to this flow, and not to a later one from the same port.
    bool mayInclude(const FlowPacket &packet) const
    {
        const auto near = [](std::uint32_t one, std::uint32_t other, std::uint32_t distance) {
            return one - other < distance || other - one < distance;
        };
        return !open
            || (near(packet.sequence, position, MaxSequenceDistance) && (packet.opening || near(packet.acknowledged, acknowledged, MaxAcknowledgedDistance)));
    }

    // Whether a copy of the opening packet may have opened the flow at `target`.
    bool isOpening(TimePoint now) const
    {
        return !isFixed() && value(target) != 0 && sentAt.elapsed(now) < MaxOpeningTime;
    }
};

struct FlowKeyHash {
    std::size_t operator()(const FlowKey &key) const
    {
        const auto pack = [](Endpoint endpoint) {
            return std::uint64_t{endpoint.address} << 16U | endpoint.port;
        };
        return hashPair(pack(key.caller), pack(key.route));
    }
};

} // namespace detail

using SteeredFlows = boost::unordered_flat_map<FlowKey, detail::SteeredFlow, detail::FlowKeyHash>;

} // namespace Robinrail

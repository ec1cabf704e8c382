// SPDX-License-Identifier: MIT
// Held packets: what arrives before a balancer knows where it goes. It is kept for a moment, as the caller
// would otherwise wait 200 ms to 1.6 s until it sends it again.
#pragma once

#include "types.h"

#include <deque>
#include <utility>

namespace Robinrail {

// After this a copy has gone elsewhere, and the packet is worth nothing. Like StandstillLimit.
inline constexpr Duration LongestHold = std::chrono::milliseconds(500);

// Most packets that are held, 0.6 MB; beyond it the oldest goes. A balancer of the largest deployment gets 300
// packets in the 0.3 s that it needs to learn the targets after a loss of power.
inline constexpr std::size_t MostHeldPackets = 512;

class HeldPackets
{
public:
    void hold(TimePoint now, BytesView packet)
    {
        if (m_packets.size() >= MostHeldPackets) {
            m_packets.pop_front();
            ++m_dropped;
        }
        m_packets.push_back({now, Bytes(packet.begin(), packet.end())});
    }

    // Takes out the packets that are not too old, in their order of arrival.
    std::vector<Bytes> release(TimePoint now)
    {
        std::vector<Bytes> released;
        for (Packet &packet : std::exchange(m_packets, {})) {
            if (now - packet.arrived < LongestHold) {
                released.push_back(std::move(packet.bytes));
            } else {
                ++m_dropped;
            }
        }
        return released;
    }

    // How many packets were too old or too many since the last call.
    std::uint64_t takeDropped()
    {
        return std::exchange(m_dropped, 0);
    }

private:
    struct Packet {
        TimePoint arrived;
        Bytes bytes;
    };
    std::deque<Packet> m_packets;
    std::uint64_t m_dropped = 0;
};

} // namespace Robinrail

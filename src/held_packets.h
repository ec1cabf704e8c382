// SPDX-License-Identifier: MIT
// Held packets: what arrives before a balancer knows where it goes. It is kept for a moment, as the caller
// would otherwise wait 200 ms to 1.6 s until it sends it again.
#pragma once

#include "flow_packet.h"

#include <deque>
#include <utility>
#include <vector>

namespace Robinrail {

// After this a packet of an open flow has been sent again, twice, and is worth nothing.
inline constexpr Duration MaxHoldTime = std::chrono::milliseconds(500);

// How long a packet may be held. An opening packet must not outlast the pause until its next copy, which may open
// the flow through another balancer.
inline Duration holdTime(const FlowPacket &packet)
{
    return packet.opening ? std::min(retransmissionDelay(packet.copy), MaxHoldTime) : MaxHoldTime;
}

// Most packets that are held, 0.6 MB; beyond it the oldest goes. A balancer of the largest deployment gets 300
// packets in the 0.3 s that it needs to learn the targets after a loss of power.
inline constexpr std::size_t MaxHeldPackets = 512;

struct HeldPacket {
    TimePoint until; // Worth nothing from then on.
    Bytes bytes;
};

class PacketHoldQueue
{
public:
    void hold(HeldPacket packet)
    {
        if (m_packets.size() >= MaxHeldPackets) {
            m_packets.pop_front();
            ++m_dropped;
        }
        m_packets.push_back(std::move(packet));
    }

    // Takes out the packets that are not too old, in their order of arrival. One that still can't be steered may be
    // held again, for as long as it was to be held at first.
    std::vector<HeldPacket> release(TimePoint now)
    {
        std::vector<HeldPacket> released;
        for (HeldPacket &packet : std::exchange(m_packets, {})) {
            if (now < packet.until) {
                released.push_back(std::move(packet));
            } else {
                ++m_dropped;
            }
        }
        return released;
    }

    bool empty() const
    {
        return m_packets.empty();
    }

    // How many packets were too old or too many since the last call.
    std::uint64_t takeDropped()
    {
        return std::exchange(m_dropped, 0);
    }

private:
    std::deque<HeldPacket> m_packets;
    std::uint64_t m_dropped = 0;
};

} // namespace Robinrail

// SPDX-License-Identifier: MIT
// Packet hold queue: packets that arrive before the balancer knows their route or target. They are queued briefly, because
// the caller would retransmit a dropped one only after 200 ms to 1.6 s.
#pragma once

#include "flow_packet.h"

#include <deque>
#include <utility>
#include <vector>

namespace Robinrail {

// By then a packet of an open flow has been retransmitted twice, so that forwarding it is of no use.
inline constexpr Duration MaxHoldTime = std::chrono::milliseconds(500);

// How long a packet may be held. An opening packet must not be forwarded after its retransmission is due, as that copy
// may open the flow through another balancer.
inline Duration holdTime(const FlowPacket &packet)
{
    return packet.opening ? std::min(retransmissionDelay(packet.copy), MaxHoldTime) : MaxHoldTime;
}

// Capacity of the queue, 0.6 MB; when it is full, the oldest packet is dropped. A balancer of the largest deployment
// receives 300 packets in the 0.3 s that it needs to learn the targets after a power failure.
inline constexpr std::size_t MaxHeldPackets = 512;

struct HeldPacket {
    TimePoint expiresAt; // Dropped instead of forwarded from then on.
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

    // Removes and returns the packets that have not expired, in order of arrival. One that still can't be steered may be
    // held again with its expiry unchanged.
    std::vector<HeldPacket> release(TimePoint now)
    {
        std::vector<HeldPacket> released;
        for (HeldPacket &packet : std::exchange(m_packets, {})) {
            if (now < packet.expiresAt) {
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

    // Number of packets that expired or exceeded the capacity since the last call.
    std::uint64_t takeDropped()
    {
        return std::exchange(m_dropped, 0);
    }

private:
    std::deque<HeldPacket> m_packets;
    std::uint64_t m_dropped = 0;
};

} // namespace Robinrail

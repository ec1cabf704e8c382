// SPDX-License-Identifier: MIT
// Packet port: the UDP socket of a steering balancer. Packets are received and sent in batches, without allocating memory
// for packets that are not held. The packet format is defined by a codec.
#pragma once

#include "net.h"
#include "packet_hold_queue.h"
#include "receive_drops.h"
#include "steering_node.h"

#include <boost/asio/ip/udp.hpp>

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <netinet/in.h>
#include <sys/socket.h>

namespace Robinrail {

// Packets that one recvmmsg or sendmmsg call handles at most. No measured load delivers more in one wake-up.
inline constexpr std::size_t PacketBatch = 32;

// Batches that are handled before other events of the loop are served.
inline constexpr int BatchesPerWakeup = 4;

// Bytes of the IPv4 and UDP headers of a datagram, which use the link as well.
inline constexpr std::size_t UdpOverhead = 28;

// Reads and writes packet headers. A packet for a target is sent with a prefix that names the target.
template<typename C>
concept PacketCodec = requires(BytesView bytes, std::span<std::uint8_t> writable, const FlowPacket &packet, FlowToken token, TargetKey key)
{
    {
        C::MaxPacket
        } -> std::convertible_to<std::size_t>;
    {
        C::PrefixSize
        } -> std::convertible_to<std::size_t>;
    {
        C::decode(bytes)
        } -> std::same_as<std::optional<FlowPacket>>;
    C::writeToken(writable, token);
    C::writePrefix(writable, key);
    {
        C::writeReset(writable, packet, std::uint32_t{})
        } -> std::same_as<std::size_t>;
};

template<PacketCodec Codec>
class PacketPort
{
public:
    PacketPort(boost::asio::io_context &io, SteeringNode &node)
        : m_node(node)
        , m_socket(io)
    {
        for (std::size_t i = 0; i < PacketBatch; ++i) {
            m_in[i].msg_hdr.msg_iov = &m_inParts[i];
            m_in[i].msg_hdr.msg_iovlen = 1;
            m_out[i].msg_hdr.msg_iov = &m_outParts[i];
            m_out[i].msg_hdr.msg_iovlen = 1;
            m_out[i].msg_hdr.msg_name = &m_outAddresses[i];
            m_out[i].msg_hdr.msg_namelen = sizeof(sockaddr_in);
        }
    }

    // Binds the socket and starts receiving; false if the address can't be bound.
    bool start(Endpoint endpoint)
    {
        boost::system::error_code error;
        m_socket.open(boost::asio::ip::udp::v4(), error);
        m_socket.bind(toUdpEndpoint(endpoint), error);
        if (error) {
            return false;
        }
        m_socket.non_blocking(true, error);
        if (!ReceiveDrops::enable(m_socket.native_handle())) {
            m_node.packetLoss().logUnsupported();
        }
        m_replyPort = endpoint.port;
        m_node.setRoutingDataHandler([this] {
            releaseHeld();
        });
        m_node.setResetHandler([this](std::span<const FlowReset> resets) {
            sendResets(resets);
        });
        wait();
        return !error;
    }

private:
    static constexpr std::size_t SlotSize = Codec::PrefixSize + Codec::MaxPacket;
    using Slot = std::array<std::uint8_t, SlotSize>;

    void wait()
    {
        m_socket.async_wait(boost::asio::ip::udp::socket::wait_read, [this](const boost::system::error_code &error) {
            if (error) {
                return;
            }
            handleReadable();
            wait();
        });
    }

    void handleReadable()
    {
        m_node.beginReceive();
        bool emptied = false;
        for (int batch = 0; batch < BatchesPerWakeup && !emptied; ++batch) {
            emptied = handleBatch() < PacketBatch;
        }
        m_node.endReceive(emptied);
    }

    // Receives and handles one batch of packets; returns their number.
    std::size_t handleBatch()
    {
        for (std::size_t i = 0; i < PacketBatch; ++i) {
            m_inParts[i] = {m_slots[i].data() + Codec::PrefixSize, Codec::MaxPacket};
            ReceiveDrops::prepare(m_in[i].msg_hdr, m_inControl[i]);
        }
        const int received = ::recvmmsg(m_socket.native_handle(), m_in.data(), PacketBatch, MSG_DONTWAIT, nullptr);
        if (received <= 0) {
            return 0;
        }
        m_outCount = 0;
        std::size_t bytes = 0;
        std::uint64_t dropped = 0;
        for (std::size_t i = 0; i < static_cast<std::size_t>(received); ++i) {
            bytes += m_in[i].msg_len + UdpOverhead;
            dropped += m_receiveDrops.take(m_in[i].msg_hdr);
            handle(m_slots[i], m_in[i].msg_len, std::nullopt);
        }
        m_node.countBytes(bytes, 0);
        if (dropped > 0) {
            m_node.packetLoss().countReceiveDrops(monotonicNow(), dropped);
        }
        flush();
        return static_cast<std::size_t>(received);
    }

    // `heldUntil`: the expiry of a packet that was held before.
    void handle(Slot &slot, std::size_t length, std::optional<TimePoint> heldUntil)
    {
        const std::span<std::uint8_t> packet = std::span(slot).subspan(Codec::PrefixSize, length);
        const std::optional<FlowPacket> header = Codec::decode(packet);
        if (!header) {
            m_node.countMalformed();
            return;
        }
        const SteeringDecision decision = m_node.steer(*header);
        switch (decision.action) {
        case SteeringAction::Forward:
            Codec::writeToken(packet, decision.token);
            Codec::writePrefix(slot, decision.target);
            return queue(slot, Codec::PrefixSize + length, decision.address);
        case SteeringAction::Reset:
            return queue(slot, Codec::writeReset(slot, *header, decision.resetSequence), {header->caller.address, m_replyPort});
        case SteeringAction::Hold:
            return m_held.hold({heldUntil.value_or(monotonicNow() + holdTime(*header)), Bytes(packet.begin(), packet.end())});
        case SteeringAction::Drop:
            return;
        }
    }

    // Steers the held packets again, a batch at a time.
    void releaseHeld()
    {
        if (m_held.empty()) {
            return;
        }
        const std::vector<HeldPacket> held = m_held.release(monotonicNow());
        m_node.countHeldTooLong(m_held.takeDropped());
        for (std::size_t at = 0; at < held.size(); at += PacketBatch) {
            m_outCount = 0;
            for (std::size_t i = at; i < std::min(at + PacketBatch, held.size()); ++i) {
                Slot &slot = m_slots[i - at];
                std::copy(held[i].bytes.begin(), held[i].bytes.end(), slot.begin() + Codec::PrefixSize);
                handle(slot, held[i].bytes.size(), held[i].expiresAt);
            }
            flush();
        }
    }

    void sendResets(std::span<const FlowReset> resets)
    {
        for (std::size_t at = 0; at < resets.size(); at += PacketBatch) {
            m_outCount = 0;
            for (const FlowReset &each : resets.subspan(at, std::min(PacketBatch, resets.size() - at))) {
                FlowPacket packet;
                packet.caller = each.flow.caller;
                packet.route = each.flow.route;
                Slot &slot = m_slots[m_outCount];
                queue(slot, Codec::writeReset(slot, packet, each.sequence), {packet.caller.address, m_replyPort});
            }
            flush();
        }
    }

    void queue(Slot &slot, std::size_t length, Endpoint to)
    {
        m_outParts[m_outCount] = {slot.data(), length};
        sockaddr_in &address = m_outAddresses[m_outCount];
        address.sin_family = AF_INET;
        address.sin_port = htons(to.port);
        address.sin_addr.s_addr = htonl(to.address);
        ++m_outCount;
    }

    // Drops packets that the kernel does not accept; the protocol above retransmits them.
    void flush()
    {
        std::size_t bytes = 0;
        for (std::size_t i = 0; i < m_outCount; ++i) {
            bytes += m_outParts[i].iov_len + UdpOverhead;
        }
        m_node.countBytes(0, bytes);
        std::size_t sent = 0;
        while (sent < m_outCount) {
            const int count = ::sendmmsg(m_socket.native_handle(), m_out.data() + sent, static_cast<unsigned>(m_outCount - sent), MSG_DONTWAIT);
            if (count <= 0) {
                m_node.packetLoss().countSendFailure(monotonicNow(), errno);
                ++sent;
            } else {
                sent += static_cast<std::size_t>(count);
            }
        }
    }

    SteeringNode &m_node;
    boost::asio::ip::udp::socket m_socket;
    std::uint16_t m_replyPort = 0; // Callers receive at the same port number.
    std::array<Slot, PacketBatch> m_slots{};
    std::array<mmsghdr, PacketBatch> m_in{};
    std::array<mmsghdr, PacketBatch> m_out{};
    std::array<iovec, PacketBatch> m_inParts{};
    std::array<ReceiveDrops::Buffer, PacketBatch> m_inControl{};
    ReceiveDrops m_receiveDrops;
    std::array<iovec, PacketBatch> m_outParts{};
    std::array<sockaddr_in, PacketBatch> m_outAddresses{};
    std::size_t m_outCount = 0;
    PacketHoldQueue m_held;
};

} // namespace Robinrail

// SPDX-License-Identifier: MIT
// Packets of flows, as the users' protocol page describes them.
#pragma once

#include "loopback.h"

namespace Review {

inline constexpr std::uint8_t FlagReset = 8;
inline constexpr std::uint8_t FlagSyn = 2;
inline constexpr std::uint8_t FlagFin = 32;
inline constexpr std::uint8_t FlagAck = 128;
inline constexpr std::size_t HeadBytes = 32;
inline constexpr std::size_t NameBytes = 8; // The intended host, in front of a packet to a host.

struct Packet {
    std::uint32_t src = 0;
    std::uint16_t sport = 0;
    std::uint32_t dst = 0;
    std::uint16_t dport = 0;
    std::uint32_t seq = 0;
    std::uint32_t ack = 0;
    std::uint32_t echo = 0;
    std::uint8_t flags = 0;
    std::string data;
    std::uint32_t sum = 0; // Decoded packets only.

    bool has(std::uint8_t flag) const
    {
        return (flags & flag) != 0;
    }

    // Covers everything except echo, pad and BOUNCED.
    std::uint32_t expectedSum() const
    {
        std::uint32_t hash = 0x811c9dc5;
        const auto add = [&hash](std::uint64_t number) {
            for (int i = 0; i < 8; ++i) {
                hash = (hash ^ static_cast<std::uint8_t>(number >> (8 * i))) * 16777619U;
            }
        };
        for (const std::uint64_t number : {std::uint64_t{src},
                                           std::uint64_t{sport},
                                           std::uint64_t{dst},
                                           std::uint64_t{dport},
                                           std::uint64_t{seq},
                                           std::uint64_t{ack},
                                           std::uint64_t{flags & 0xfeU},
                                           std::uint64_t{data.size()}}) {
            add(number);
        }
        for (const char byte : data) {
            add(static_cast<std::uint8_t>(byte));
        }
        return hash | 1U;
    }

    std::string encode() const
    {
        std::string bytes(HeadBytes, '\0');
        const auto store = [&bytes](std::size_t at, std::uint64_t number, std::size_t width) {
            for (std::size_t i = 0; i < width; ++i) {
                bytes[at + i] = static_cast<char>(number >> (8 * i));
            }
        };
        store(0, data.size(), 2);
        store(2, src, 4);
        store(6, dport, 2);
        store(8, dst, 4);
        store(12, sport, 2);
        store(14, expectedSum(), 4);
        store(18, seq, 4);
        store(22, ack, 4);
        store(26, echo, 4);
        store(30, flags, 1);
        return bytes + data;
    }

    static std::optional<Packet> decode(const std::string &bytes)
    {
        const auto load = [&bytes](std::size_t at, std::size_t width) {
            std::uint64_t number = 0;
            for (std::size_t i = 0; i < width; ++i) {
                number |= std::uint64_t{static_cast<std::uint8_t>(bytes[at + i])} << (8 * i);
            }
            return number;
        };
        if (bytes.size() < HeadBytes || load(0, 2) != bytes.size() - HeadBytes) {
            return std::nullopt;
        }
        Packet packet;
        packet.src = static_cast<std::uint32_t>(load(2, 4));
        packet.dport = static_cast<std::uint16_t>(load(6, 2));
        packet.dst = static_cast<std::uint32_t>(load(8, 4));
        packet.sport = static_cast<std::uint16_t>(load(12, 2));
        packet.sum = static_cast<std::uint32_t>(load(14, 4));
        packet.seq = static_cast<std::uint32_t>(load(18, 4));
        packet.ack = static_cast<std::uint32_t>(load(22, 4));
        packet.echo = static_cast<std::uint32_t>(load(26, 4));
        packet.flags = static_cast<std::uint8_t>(load(30, 1));
        packet.data = bytes.substr(HeadBytes);
        return packet;
    }
};

// A flow by the requester's port and the route.
using FlowName = std::pair<std::uint16_t, std::uint16_t>;

} // namespace Review

// SPDX-License-Identifier: MIT
// Link traffic: messages and bytes on the links between nodes, by kind of message, direction and distance.
#pragma once

#include "metrics.h"
#include "node_message.h"

#include <array>
#include <string>

namespace Robinrail {

enum class LinkDirection : std::uint8_t {
    Sent,
    Received,
};

// Where the other end of a link is.
enum class LinkDistance : std::uint8_t {
    Near, // In the same data centre.
    Far, // In another one.
    Unknown, // It has not said so yet.
};

// A node's traffic is summed up in its log this often, as nodes that lose power write no last line.
inline constexpr Duration TrafficLogInterval = std::chrono::seconds(10);

class LinkTraffic
{
public:
    // Counts one encoded message; one of an unknown kind is left out.
    void count(LinkDirection direction, LinkDistance distance, BytesView message);

    // Bytes so far, headers left out.
    std::uint64_t bytes(LinkDirection direction, LinkDistance distance) const;

    // Adds counters of messages and bytes, three labels each.
    void describe(PrometheusWriter &text) const;

    // Writes one line: bytes by direction and distance, then each kind's messages and bytes where there are any.
    void log() const;

private:
    static constexpr std::size_t Kinds = std::variant_size_v<NodeMessage>;
    static constexpr std::size_t Directions = 2;
    static constexpr std::size_t Distances = 3;

    struct Tally {
        std::uint64_t messages = 0;
        std::uint64_t bytes = 0;

        Tally &operator+=(const Tally &other);
    };

    const Tally &at(std::size_t kind, LinkDirection direction, LinkDistance distance) const;
    std::string tallyText(std::size_t kind) const;

    std::array<Tally, Kinds * Directions * Distances> m_tallies{};
};

} // namespace Robinrail

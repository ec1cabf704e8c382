// SPDX-License-Identifier: MIT
// Link traffic: counters of messages and bytes on the links between nodes, by kind of message, direction and distance.
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

// Location of the other end of a link.
enum class LinkDistance : std::uint8_t {
    SameDataCentre,
    OtherDataCentre,
    Unknown, // The peer has not sent its hello yet.
};

// Interval of the traffic summary in the log. It is periodic because a node that loses power writes no final line.
inline constexpr Duration TrafficLogInterval = std::chrono::seconds(10);

class LinkTraffic
{
public:
    // Counts one encoded message; ignores messages of an unknown kind.
    void count(LinkDirection direction, LinkDistance distance, BytesView message);

    // Total bytes of messages so far, without framing and protocol headers.
    std::uint64_t bytes(LinkDirection direction, LinkDistance distance) const;

    // Writes the counters of messages and bytes, labelled by kind, direction and distance.
    void writeMetrics(PrometheusWriter &text) const;

    // Writes one log line: bytes by direction and distance, then messages and bytes of each kind that occurred.
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

    const Tally &tally(std::size_t kind, LinkDirection direction, LinkDistance distance) const;
    std::string tallyText(std::size_t kind) const;

    std::array<Tally, Kinds * Directions * Distances> m_tallies{};
};

} // namespace Robinrail

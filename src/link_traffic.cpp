// SPDX-License-Identifier: MIT
// Link traffic: implementation.
#include "link_traffic.h"

#include "codec.h"
#include "log.h"

#include <initializer_list>
#include <string_view>

namespace Robinrail {

namespace {

constexpr std::array AllDirections{LinkDirection::Sent, LinkDirection::Received};
constexpr std::array AllDistances{LinkDistance::Near, LinkDistance::Far, LinkDistance::Unknown};

std::string_view nameOf(LinkDirection direction)
{
    return direction == LinkDirection::Sent ? "sent" : "received";
}

std::string_view nameOf(LinkDistance distance)
{
    switch (distance) {
    case LinkDistance::Near:
        return "near";
    case LinkDistance::Far:
        return "far";
    case LinkDistance::Unknown:
        break;
    }
    return "unknown";
}

std::size_t placeOf(std::size_t kind, LinkDirection direction, LinkDistance distance)
{
    return (kind * AllDirections.size() + static_cast<std::size_t>(direction)) * AllDistances.size() + static_cast<std::size_t>(distance);
}

} // namespace

LinkTraffic::Tally &LinkTraffic::Tally::operator+=(const Tally &other)
{
    messages += other.messages;
    bytes += other.bytes;
    return *this;
}

void LinkTraffic::count(LinkDirection direction, LinkDistance distance, BytesView message)
{
    const std::optional<std::size_t> kind = messageKind(message);
    if (kind && *kind < Kinds) {
        m_tallies[placeOf(*kind, direction, distance)] += {1, message.size()};
    }
}

const LinkTraffic::Tally &LinkTraffic::at(std::size_t kind, LinkDirection direction, LinkDistance distance) const
{
    return m_tallies[placeOf(kind, direction, distance)];
}

std::uint64_t LinkTraffic::bytes(LinkDirection direction, LinkDistance distance) const
{
    std::uint64_t sum = 0;
    for (std::size_t kind = 0; kind < Kinds; ++kind) {
        sum += at(kind, direction, distance).bytes;
    }
    return sum;
}

void LinkTraffic::describe(PrometheusWriter &text) const
{
    const auto counters = [&](const char *name, const char *help, std::uint64_t Tally::*figure) {
        for (std::size_t kind = 0; kind < Kinds; ++kind) {
            for (const LinkDirection direction : AllDirections) {
                for (const LinkDistance distance : AllDistances) {
                    const std::string labels = "message=\"" + std::string(NodeMessageNames[kind]) + "\",direction=\"" + std::string(nameOf(direction))
                        + "\",distance=\"" + std::string(nameOf(distance)) + '"';
                    text.counter(name, help, static_cast<double>(at(kind, direction, distance).*figure), labels);
                }
            }
        }
    };
    counters("robinrail_link_messages_total", "Messages on links by kind, direction and distance", &Tally::messages);
    counters("robinrail_link_message_bytes_total", "Bytes on links by kind of message, direction and distance", &Tally::bytes);
}

// Sent near, sent far, received near, received far: messages and bytes of each.
std::string LinkTraffic::tallyText(std::size_t kind) const
{
    std::string text;
    for (const LinkDirection direction : AllDirections) {
        for (const LinkDistance distance : {LinkDistance::Near, LinkDistance::Far}) {
            const Tally &tally = at(kind, direction, distance);
            text += (text.empty() ? "" : ",") + std::to_string(tally.messages) + ':' + std::to_string(tally.bytes);
        }
    }
    return text;
}

void LinkTraffic::log() const
{
    LogLine line(LogLevel::Info, "link-traffic");
    for (const LinkDirection direction : AllDirections) {
        for (const LinkDistance distance : AllDistances) {
            line.with(std::string(nameOf(direction)) + '-' + std::string(nameOf(distance)), bytes(direction, distance));
        }
    }
    for (std::size_t kind = 0; kind < Kinds; ++kind) {
        Tally all;
        for (const LinkDirection direction : AllDirections) {
            for (const LinkDistance distance : AllDistances) {
                all += at(kind, direction, distance);
            }
        }
        if (all.messages > 0) {
            line.with(NodeMessageNames[kind], tallyText(kind));
        }
    }
}

} // namespace Robinrail

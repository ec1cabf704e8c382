// SPDX-License-Identifier: MIT
// Link traffic: counting, metrics and the log line.
#include "link_traffic.h"

#include "codec.h"
#include "log.h"

#include <initializer_list>
#include <string_view>

namespace Robinrail {

namespace {

constexpr std::array AllDirections{LinkDirection::Sent, LinkDirection::Received};
constexpr std::array AllDistances{LinkDistance::SameDataCentre, LinkDistance::OtherDataCentre, LinkDistance::Unknown};

std::string_view nameOf(LinkDirection direction)
{
    return direction == LinkDirection::Sent ? "sent" : "received";
}

std::string_view nameOf(LinkDistance distance)
{
    switch (distance) {
    case LinkDistance::SameDataCentre:
        return "near";
    case LinkDistance::OtherDataCentre:
        return "far";
    case LinkDistance::Unknown:
        break;
    }
    return "unknown";
}

std::size_t tallyIndex(std::size_t kind, LinkDirection direction, LinkDistance distance)
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
    const std::optional<std::size_t> kind = messageTypeIndex(message);
    if (kind && *kind < Kinds) {
        m_tallies[tallyIndex(*kind, direction, distance)] += {1, message.size()};
    }
}

const LinkTraffic::Tally &LinkTraffic::tally(std::size_t kind, LinkDirection direction, LinkDistance distance) const
{
    return m_tallies[tallyIndex(kind, direction, distance)];
}

std::uint64_t LinkTraffic::bytes(LinkDirection direction, LinkDistance distance) const
{
    std::uint64_t sum = 0;
    for (std::size_t kind = 0; kind < Kinds; ++kind) {
        sum += tally(kind, direction, distance).bytes;
    }
    return sum;
}

void LinkTraffic::writeMetrics(PrometheusWriter &text) const
{
    const auto counters = [&](const char *name, const char *help, std::uint64_t Tally::*counter) {
        for (std::size_t kind = 0; kind < Kinds; ++kind) {
            for (const LinkDirection direction : AllDirections) {
                for (const LinkDistance distance : AllDistances) {
                    const std::string labels = "message=\"" + std::string(NodeMessageNames[kind]) + "\",direction=\"" + std::string(nameOf(direction))
                        + "\",distance=\"" + std::string(nameOf(distance)) + '"';
                    text.counter(name, help, static_cast<double>(tally(kind, direction, distance).*counter), labels);
                }
            }
        }
    };
    counters("robinrail_link_messages_total", "Messages on links by kind, direction and distance", &Tally::messages);
    counters("robinrail_link_message_bytes_total", "Bytes on links by kind of message, direction and distance", &Tally::bytes);
}

// Formats messages:bytes of four pairs: sent and received, each within the data centre and to others.
std::string LinkTraffic::tallyText(std::size_t kind) const
{
    std::string text;
    for (const LinkDirection direction : AllDirections) {
        for (const LinkDistance distance : {LinkDistance::SameDataCentre, LinkDistance::OtherDataCentre}) {
            const Tally &counted = tally(kind, direction, distance);
            text += (text.empty() ? "" : ",") + std::to_string(counted.messages) + ':' + std::to_string(counted.bytes);
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
        Tally total;
        for (const LinkDirection direction : AllDirections) {
            for (const LinkDistance distance : AllDistances) {
                total += tally(kind, direction, distance);
            }
        }
        if (total.messages > 0) {
            line.with(NodeMessageNames[kind], tallyText(kind));
        }
    }
}

} // namespace Robinrail

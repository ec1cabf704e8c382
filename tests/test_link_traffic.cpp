// SPDX-License-Identifier: MIT
// Link traffic: what passed over a node's links, told apart by kind, direction and distance.
#include "link_traffic.h"

#include <doctest/doctest.h>

using namespace Robinrail;

namespace {

Bytes pingMessage()
{
    return encodeMessage(NodeMessage(NodePing{}));
}

Bytes heardMessage()
{
    return encodeMessage(NodeMessage(TargetsHeard{{TargetKey{1}, TargetKey{2}}, {}}));
}

} // namespace

TEST_CASE("messages on links are counted by kind, direction and distance")
{
    LinkTraffic traffic;
    const Bytes ping = pingMessage();
    const Bytes heard = heardMessage();
    traffic.count(LinkDirection::Sent, LinkDistance::Near, ping);
    traffic.count(LinkDirection::Sent, LinkDistance::Far, heard);
    traffic.count(LinkDirection::Sent, LinkDistance::Far, heard);
    traffic.count(LinkDirection::Received, LinkDistance::Far, ping);

    CHECK(traffic.bytes(LinkDirection::Sent, LinkDistance::Near) == ping.size());
    CHECK(traffic.bytes(LinkDirection::Sent, LinkDistance::Far) == 2 * heard.size());
    CHECK(traffic.bytes(LinkDirection::Received, LinkDistance::Near) == 0);
    CHECK(traffic.bytes(LinkDirection::Received, LinkDistance::Far) == ping.size());

    PrometheusWriter text;
    traffic.describe(text);
    const std::string figures = text.text();
    const auto has = [&figures](const std::string &line) {
        return figures.find(line + '\n') != std::string::npos;
    };
    CHECK(has(R"(robinrail_link_messages_total{message="targets-heard",direction="sent",distance="far"} 2)"));
    CHECK(has(R"(robinrail_link_messages_total{message="targets-heard",direction="received",distance="far"} 0)"));
    CHECK(has(R"(robinrail_link_message_bytes_total{message="ping",direction="received",distance="far"} )" + std::to_string(ping.size())));
}

TEST_CASE("bytes that are no message of a known kind are not counted as one")
{
    LinkTraffic traffic;
    const auto unknown = static_cast<std::uint8_t>(std::variant_size_v<NodeMessage>);
    traffic.count(LinkDirection::Received, LinkDistance::Unknown, Bytes{0x82, unknown, 0x80});
    traffic.count(LinkDirection::Received, LinkDistance::Unknown, Bytes{});
    CHECK(traffic.bytes(LinkDirection::Received, LinkDistance::Unknown) == 0);
}

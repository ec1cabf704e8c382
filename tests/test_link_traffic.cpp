// SPDX-License-Identifier: MIT
// Link traffic: counters of messages and bytes by kind, direction and distance.
#include "link_traffic.h"

#include <doctest/doctest.h>

using namespace Robinrail;

namespace {

Bytes pingMessage()
{
    return encodeMessage(NodeMessage(NodePing{}));
}

Bytes targetsHeardMessage()
{
    return encodeMessage(NodeMessage(TargetLeaseUpdate{{TargetKey{1}, TargetKey{2}}, {}}));
}

} // namespace

TEST_CASE("messages on links are counted by kind, direction and distance")
{
    LinkTraffic traffic;
    const Bytes ping = pingMessage();
    const Bytes heard = targetsHeardMessage();
    traffic.count(LinkDirection::Sent, LinkDistance::SameDataCentre, ping);
    traffic.count(LinkDirection::Sent, LinkDistance::OtherDataCentre, heard);
    traffic.count(LinkDirection::Sent, LinkDistance::OtherDataCentre, heard);
    traffic.count(LinkDirection::Received, LinkDistance::OtherDataCentre, ping);

    CHECK(traffic.bytes(LinkDirection::Sent, LinkDistance::SameDataCentre) == ping.size());
    CHECK(traffic.bytes(LinkDirection::Sent, LinkDistance::OtherDataCentre) == 2 * heard.size());
    CHECK(traffic.bytes(LinkDirection::Received, LinkDistance::SameDataCentre) == 0);
    CHECK(traffic.bytes(LinkDirection::Received, LinkDistance::OtherDataCentre) == ping.size());

    PrometheusWriter text;
    traffic.writeMetrics(text);
    const std::string metrics = text.text();
    const auto has = [&metrics](const std::string &line) {
        return metrics.find(line + '\n') != std::string::npos;
    };
    CHECK(has(R"(robinrail_link_messages_total{message="targets-heard",direction="sent",distance="far"} 2)"));
    CHECK(has(R"(robinrail_link_messages_total{message="targets-heard",direction="received",distance="far"} 0)"));
    CHECK(has(R"(robinrail_link_message_bytes_total{message="ping",direction="received",distance="far"} )" + std::to_string(ping.size())));
}

TEST_CASE("bytes that are not a message of a known kind are not counted")
{
    LinkTraffic traffic;
    const auto unknown = static_cast<std::uint8_t>(std::variant_size_v<NodeMessage>);
    traffic.count(LinkDirection::Received, LinkDistance::Unknown, Bytes{0x82, unknown, 0x80});
    traffic.count(LinkDirection::Received, LinkDistance::Unknown, Bytes{});
    CHECK(traffic.bytes(LinkDirection::Received, LinkDistance::Unknown) == 0);
}

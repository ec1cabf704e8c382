// SPDX-License-Identifier: MIT
// Steering node: opening pins.
#include "log.h"
#include "net.h"
#include "opening_pin_forwarder.h"
#include "steering_node.h"

#include <algorithm>

namespace Robinrail {

void SteeringNode::sendPins(std::span<const OpeningPin> pins)
{
    if (!m_replicaSelector.source()) {
        return;
    }
    const LinkHandle link = m_links.linkTo(*m_replicaSelector.source());
    // While all balancers of a data centre stop, their callers' next copies go to other data centres.
    const DataCentreId receivers = m_stopping ? AllDataCentres : m_file.dataCentreId(m_file.dataCentre);
    for (; !pins.empty(); pins = pins.subspan(std::min(pins.size(), MaxPinsPerMessage))) {
        m_links.send(link, toMessage(receivers, pins));
    }
}

void SteeringNode::onPins(const NodeHello &peer, const OpeningPins &message)
{
    const TimePoint now = monotonicNow();
    const std::optional<std::vector<OpeningPin>> pins = pinsOf(message);
    if (!pins) {
        ++m_malformedPins;
        if (const auto leftOut = m_malformedPinsLog.take(now)) {
            LogLine(LogLevel::Error, "opening-pins-malformed").with("replica", toText(peer.replica)).with("left-out", *leftOut);
        }
        return;
    }
    for (const OpeningPin &pin : *pins) {
        m_steering.learnPin(now, pin);
    }
}

void SteeringNode::writePinMetrics(PrometheusWriter &text) const
{
    const OpeningPinCounts &counts = m_steering.pinCounts();
    const auto sent = [&text](const char *result, std::uint64_t pins) {
        text.counter("robinrail_opening_pins_sent_total",
                     "Opening pins for other balancers: sent, or dropped by a bound",
                     static_cast<double>(pins),
                     std::string("result=\"") + result + "\"");
    };
    sent("sent", counts.sent);
    sent("too-late", counts.tooLate);
    sent("link-limited", counts.linkLimited);
    const auto received = [&text](const char *result, std::uint64_t pins) {
        text.counter("robinrail_opening_pins_received_total",
                     "Opening pins of other balancers: kept, or ignored",
                     static_cast<double>(pins),
                     std::string("result=\"") + result + "\"");
    };
    received("kept", counts.learned);
    received("known-flow", counts.known);
    received("unknown-target", counts.unknownTarget);
    received("expired", counts.expired);
    received("full", counts.full);
    text.counter("robinrail_opening_pins_used_total", "Flows whose target was taken from an opening pin", static_cast<double>(counts.used));
    text.counter("robinrail_opening_pins_malformed_total", "Lists of opening pins that were malformed", static_cast<double>(m_malformedPins));
}

} // namespace Robinrail

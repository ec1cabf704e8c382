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
    const auto count = [&text](const char *name, const char *help, const char *result, std::uint64_t pins) {
        text.counter(name, help, static_cast<double>(pins), std::string("result=\"") + result + "\"");
    };
    constexpr const char *Sent = "robinrail_opening_pins_sent_total";
    constexpr const char *SentHelp = "Opening pins for other balancers: sent, or dropped by a bound";
    count(Sent, SentHelp, "sent", counts.sent);
    count(Sent, SentHelp, "too-late", counts.tooLate);
    constexpr const char *Received = "robinrail_opening_pins_received_total";
    constexpr const char *ReceivedHelp = "Opening pins of other balancers: kept, or ignored";
    count(Received, ReceivedHelp, "kept", counts.learned);
    count(Received, ReceivedHelp, "known-flow", counts.known);
    count(Received, ReceivedHelp, "unknown-target", counts.unknownTarget);
    count(Received, ReceivedHelp, "expired", counts.expired);
    count(Received, ReceivedHelp, "full", counts.full);
    text.counter("robinrail_opening_pins_used_total", "Flows whose target was taken from an opening pin", static_cast<double>(counts.used));
    text.counter("robinrail_opening_pins_malformed_total", "Lists of opening pins that were malformed", static_cast<double>(m_malformedPins));
}

} // namespace Robinrail

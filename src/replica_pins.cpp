// SPDX-License-Identifier: MIT
// Replica node: forwarding of opening pins.
#include "log.h"
#include "net.h"
#include "replica_node.h"

namespace Robinrail {

// Passes the pins of a balancer on to the other balancers of its data centre and to the other replicas, and those of a replica to
// balancers only. Those of a balancer that stops go to the balancers of all data centres.
void ReplicaNode::onPins(LinkHandle link, const NodeHello &peer, const OpeningPins &message)
{
    const TimePoint now = monotonicNow();
    std::optional<std::vector<OpeningPin>> pins = pinsOf(message);
    if (!pins) {
        ++m_malformedPins;
        if (const auto leftOut = m_malformedPinsLog.take(now)) {
            LogLine(LogLevel::Error, "opening-pins-malformed")
                .with("data-centre", static_cast<int>(value(peer.dataCentre)))
                .with("replica", toText(peer.replica))
                .with("left-out", *leftOut);
        }
        return;
    }
    const bool fromReplica = peer.role == NodeRole::Replica;
    const bool all = message.dataCentre == AllDataCentres;
    const DataCentreId dataCentre = fromReplica || all ? message.dataCentre : peer.dataCentre;
    std::vector<LinkHandle> receivers = all ? m_links.acceptedFrom(NodeRole::Balancer) : m_links.acceptedFrom(NodeRole::Balancer, dataCentre);
    std::erase(receivers, link);
    if (!fromReplica) {
        const std::vector<LinkHandle> replicas = m_links.dialled();
        receivers.insert(receivers.end(), replicas.begin(), replicas.end());
    }
    const std::vector<OpeningPin> admitted = m_pins.admit(now, dataCentre, receivers.size(), std::move(*pins));
    if (!admitted.empty()) {
        m_links.sendAll(receivers, toMessage(dataCentre, admitted));
    }
}

void ReplicaNode::addPinMetrics(PrometheusWriter &text) const
{
    const auto count = [&text](const char *result, std::uint64_t pins) {
        text.counter("robinrail_opening_pins_forwarded_total",
                     "Opening pins of balancers: passed on, or dropped by a bound",
                     static_cast<double>(pins),
                     std::string("result=\"") + result + "\"");
    };
    count("forwarded", m_pins.forwarded());
    count("dropped", m_pins.dropped());
    text.counter("robinrail_opening_pins_malformed_total", "Lists of opening pins that were malformed", static_cast<double>(m_malformedPins));
}

} // namespace Robinrail

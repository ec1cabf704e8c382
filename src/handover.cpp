// SPDX-License-Identifier: MIT
// Handover: linger time, and transfer of flows to the successor.
#include "handover.h"

namespace Robinrail {

Handover::Handover(BalancerContext &context, Gossip &gossip)
    : m_context(context)
    , m_gossip(gossip)
{
}

void Handover::begin(TimePoint now, Duration linger)
{
    if (m_begun) {
        return;
    }
    m_begun = true;
    m_lingerUntil = now + linger;
    m_context.peers.setStopping();
    m_gossip.sendHeartbeats(now);
}

void Handover::tick(TimePoint now, bool idle)
{
    if (!m_begun || now < m_lingerUntil) {
        return;
    }
    dropFlowsOfLostSuccessors();
    if (chooseSuccessor()) {
        sendBatch(now);
    }
    const bool drained = idle && m_context.flows.size() == 0;
    if (!drained) {
        m_drainedSince.reset();
    } else if (!m_drainedSince) {
        m_drainedSince = now;
        if (m_successor) {
            m_gossip.setSuccessor(*m_successor);
        }
        m_gossip.sendHeartbeats(now);
    }
}

void Handover::confirm(const HandoverReceived &message)
{
    for (const FlowId flow : message.flows) {
        const auto sent = m_sent.find(value(flow));
        if (sent != m_sent.end()) {
            sent->second.confirmed = true;
            m_context.flows.erase(flow);
        }
    }
}

std::optional<BalancerKey> Handover::destination(FlowId flow) const
{
    const auto sent = m_sent.find(value(flow));
    return sent != m_sent.end() ? std::optional(sent->second.to) : std::nullopt;
}

bool Handover::finished(TimePoint now) const
{
    return m_begun && m_drainedSince && now - *m_drainedSince >= HandoverGracePeriod;
}

bool Handover::chooseSuccessor()
{
    if (m_successor && m_context.peers.resolve(*m_successor) == m_successor) {
        return true;
    }
    m_successor = m_context.peers.chooseSuccessor();
    return m_successor.has_value();
}

// Flows sent to a successor that was lost before it confirmed must not be sent to a second one: the first may
// have run requests of them. They are dropped, and re-established by the next packets of their callers.
void Handover::dropFlowsOfLostSuccessors()
{
    std::vector<FlowId> lost;
    m_context.flows.forEach([&](FlowId id, const Flow &flow) {
        const auto sent = m_sent.find(value(id));
        if (flow.handedOver && sent != m_sent.end() && m_context.peers.resolve(sent->second.to) == std::nullopt) {
            lost.push_back(id);
        }
    });
    for (const FlowId id : lost) {
        m_context.flows.erase(id);
    }
}

void Handover::sendBatch(TimePoint now)
{
    const Peer *successor = m_context.peers.find(m_successor->id);
    std::vector<HandoverFlows> batches;
    m_context.flows.forEach([&](FlowId id, Flow &flow) {
        const auto sent = m_sent.find(value(id));
        const bool awaitingConfirmation = sent != m_sent.end() && now - sent->second.at < HandoverRetry;
        const bool sentToOther = sent != m_sent.end() && sent->second.to != *m_successor;
        if (flow.activeRequests > 0 || awaitingConfirmation || sentToOther) {
            return;
        }
        if (batches.empty() || batches.back().flows.size() >= MaxFlowsPerHandover) {
            if (batches.size() >= MaxHandoversPerTick) {
                return;
            }
            batches.push_back({m_context.peers.self(), *m_successor, {}});
        }
        // Fencing: from here on this balancer runs no request of the flow, whether the datagram arrives or not.
        if (!flow.handedOver) {
            flow.handedOver = true;
            ++m_context.counters.flowsHandedOver;
            m_context.observe({.kind = EventKind::FlowHandedOver, .at = now, .service = flow.service, .flow = id, .peer = successor->id});
        }
        m_sent[value(id)] = {*m_successor, now, false};
        batches.back().flows.push_back(pack(id, flow));
    });
    for (HandoverFlows &batch : batches) {
        m_context.send(successor->endpoint, std::move(batch));
    }
}

FlowHandover Handover::pack(FlowId id, const Flow &flow) const
{
    FlowHandover handover;
    handover.flow = id;
    handover.service = flow.service;
    handover.target = flow.target;
    handover.caller = flow.caller;
    handover.highestRequest = flow.window.highest();
    handover.requestWindow = flow.window.bits();
    handover.hasFeed = flow.attachment != 0;
    handover.nextSequence = flow.nextSequence;
    return handover;
}

} // namespace Robinrail

// SPDX-License-Identifier: MIT
// Balancer core: packets exchanged between balancers.
#include "balancer_core.h"

#include <optional>
#include <utility>

namespace Robinrail {

template<SlotPolicy Policy>
void BalancerCore<Policy>::handlePeer(TimePoint now, Endpoint peer, const Message &message)
{
    if (const auto *heartbeat = std::get_if<Heartbeat>(&message)) {
        handleHeartbeat(now, *heartbeat);
    } else if (const auto *relayed = std::get_if<RelayedPacket>(&message)) {
        handleRelayed(now, *relayed);
    } else if (const auto *offload = std::get_if<OffloadRequest>(&message)) {
        m_requests.handleOffload(now, peer, *offload);
    } else if (const auto *part = std::get_if<RunPart>(&message)) {
        m_requests.handleRunPart(now, *part);
    } else if (const auto *refused = std::get_if<RunRefused>(&message)) {
        m_requests.handleRunRefused(now, *refused);
    } else if (const auto *cancel = std::get_if<CancelRun>(&message)) {
        m_requests.cancelHosted(*cancel);
    } else if (const auto *handover = std::get_if<HandoverFlows>(&message)) {
        handleHandover(now, peer, *handover);
    } else if (const auto *received = std::get_if<HandoverReceived>(&message)) {
        m_handover.confirm(*received);
    } else {
        m_context.reject(now, RejectReason::UnexpectedType);
    }
}

template<SlotPolicy Policy>
void BalancerCore<Policy>::relay(TimePoint now, const CallerPacket &packet, BalancerKey to, const Message &message)
{
    const Peer *peer = m_context.peers.find(to.id);
    if (peer == nullptr) {
        return;
    }
    if (packet.hops >= MaxRelayHops) {
        return m_context.reject(now, RejectReason::TooManyHops);
    }
    ++m_context.counters.packetsRelayed;
    RelayedPacket relayed;
    relayed.relay = m_context.peers.self();
    relayed.service = packet.service;
    relayed.caller = packet.caller;
    relayed.hops = static_cast<std::uint8_t>(packet.hops + 1);
    relayed.freeSlots = m_requests.offloadableSlots(packet.service, now);
    relayed.packet = encodeMessage(message);
    m_context.send(peer->endpoint, std::move(relayed));
}

template<SlotPolicy Policy>
void BalancerCore<Policy>::handleRelayed(TimePoint now, const RelayedPacket &relayed)
{
    m_context.peers.recordAlive(now, relayed.relay);
    const std::optional<Message> inner = decodeMessage<Message>(relayed.packet);
    if (!inner) {
        return m_context.reject(now, RejectReason::Malformed);
    }
    if (value(relayed.service) == 0) {
        return dispatchTarget(now, relayed.caller, &relayed, *inner);
    }
    m_requests.recordFreeSlots(now, relayed.relay.id, relayed.service, relayed.freeSlots);
    dispatchCaller(now, {relayed.service, relayed.caller, relayed.hops, relayed.relay}, *inner);
}

template<SlotPolicy Policy>
void BalancerCore<Policy>::handleHandover(TimePoint now, Endpoint peer, const HandoverFlows &handover)
{
    if (handover.to != m_context.peers.self()) {
        return;
    }
    HandoverReceived received{handover.to, {}};
    for (const FlowHandover &entry : handover.flows) {
        received.flows.push_back(entry.flow);
        Flow flow;
        flow.window = RequestWindow(entry.highestRequest, entry.requestWindow);
        flow.nextSequence = entry.nextSequence;
        flow.lastActive = CoarseTime(now);
        flow.caller = entry.caller;
        flow.target = entry.target;
        flow.service = entry.service;
        Flow *inserted = m_context.flows.insert(entry.flow, flow);
        if (inserted == nullptr || m_handover.destination(entry.flow)) {
            continue; // Retransmitted, or already handed over to another balancer.
        }
        ++m_context.counters.flowsReceived;
        m_previousOwners[value(entry.flow)] = {handover.from, now};
        m_context.send(entry.caller, FlowMoved{entry.flow, entry.flow, m_context.sealConnectionId(entry.flow, *inserted)});
        if (entry.hasFeed) {
            m_feeds.resume(now, entry.flow, *inserted);
        }
        m_context.observe({.kind = EventKind::FlowReceived, .at = now, .service = entry.service, .flow = entry.flow, .peer = handover.from.id});
    }
    m_context.send(peer, received);
}

template<SlotPolicy Policy>
void BalancerCore<Policy>::handleHeartbeat(TimePoint now, const Heartbeat &heartbeat)
{
    const Gossip::HeartbeatResult result = m_gossip.receive(now, heartbeat);
    m_heardPeer = true;
    if (result.effect == HeartbeatEffect::Joined) {
        m_context.observe({.kind = EventKind::PeerJoined, .at = now, .peer = heartbeat.sender.id});
    }
    if (result.effect == HeartbeatEffect::Stopping) {
        m_context.observe({.kind = EventKind::PeerStopping, .at = now, .peer = heartbeat.sender.id});
    }
    for (const TargetId target : result.joined) {
        onTargetChanged(now, target, AnnouncementEffect::Joined);
    }
    for (const TargetId target : result.drained) {
        onTargetChanged(now, target, AnnouncementEffect::Drained);
    }
}

template class BalancerCore<OptimisticSlots>;
template class BalancerCore<PartitionedTargets>;
template class BalancerCore<PartitionedSlotsNoOffload>;
template class BalancerCore<PartitionedSlots>;

} // namespace Robinrail

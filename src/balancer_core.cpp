// SPDX-License-Identifier: MIT
// Balancer core: packets of callers and targets, settings and timers. Packets of peers are handled in balancer_peers.cpp.
#include "balancer_core.h"

#include "hash.h"
#include "target_choice.h"

#include <algorithm>

namespace Robinrail {

namespace {

// A balancer that hears no peer is ready after this delay; otherwise it is ready after the first heartbeat of a peer.
constexpr Duration NoPeerReadyDelay = PeerTimeout;

} // namespace

template<SlotPolicy Policy>
BalancerCore<Policy>::BalancerCore(const BalancerSettings &settings)
    : m_context(settings)
    , m_requests(m_context)
    , m_feeds(m_context)
    , m_gossip(m_context)
    , m_handover(m_context, m_gossip)
{
}

template<SlotPolicy Policy>
bool BalancerCore<Policy>::applyBundle(TimePoint now, std::uint64_t version, std::span<const ServiceSettings> services)
{
    if (version <= m_context.bundleVersion) {
        return false;
    }
    m_context.bundleVersion = version;
    m_requests.applyServices(services);
    m_context.observe({.kind = EventKind::BundleApplied, .at = now});
    return true;
}

template<SlotPolicy Policy>
void BalancerCore<Policy>::applyKeys(std::vector<VersionedMacKey> keys)
{
    m_context.sealer = ConnectionIdSealer(std::move(keys));
}

// ---- Packets of callers ----

template<SlotPolicy Policy>
void BalancerCore<Policy>::handleCaller(TimePoint now, ServiceId service, Endpoint caller, const Message &message)
{
    dispatchCaller(now, {service, caller, 0, std::nullopt}, message);
}

template<SlotPolicy Policy>
void BalancerCore<Policy>::dispatchCaller(TimePoint now, const CallerPacket &packet, const Message &message)
{
    if (!m_requests.knowsService(packet.service)) {
        return m_context.reject(now, RejectReason::UnknownService);
    }
    if (const auto *openFlow = std::get_if<OpenFlow>(&message)) {
        open(now, packet, *openFlow);
    } else if (const auto *request = std::get_if<Request>(&message)) {
        onFlow(now, packet, *request);
    } else if (const auto *cancel = std::get_if<CancelRequest>(&message)) {
        onFlow(now, packet, *cancel);
    } else if (const auto *poll = std::get_if<PollFeed>(&message)) {
        onFlow(now, packet, *poll);
    } else {
        m_context.reject(now, RejectReason::UnexpectedType);
    }
}

// The balancer that receives the opening packet owns the flow. The fabric sprays packets evenly, so ownership is balanced
// without coordination. A duplicated packet opens a second flow elsewhere, which the caller never uses and which expires.
template<SlotPolicy Policy>
void BalancerCore<Policy>::open(TimePoint now, const CallerPacket &packet, const OpenFlow &message)
{
    if (m_context.peers.stopping()) {
        const std::optional<BalancerKey> other = m_context.peers.chooseSuccessor();
        return other ? relay(now, packet, *other, message) : void();
    }
    const FlowId id = insertFlow(now, packet, TargetId{});
    const Flow *flow = m_context.flows.find(id);
    if (flow == nullptr) {
        m_context.send(packet.caller, Refusal{FlowId{}, RequestId{}, Outcome::NotRun, RefusalReason::Overload, NoTargetRetryAfter});
        return;
    }
    ++m_context.counters.flowsOpened;
    m_context.send(packet.caller, FlowOpened{message.nonce, id, m_context.sealConnectionId(id, *flow)});
    m_context.observe({.kind = EventKind::FlowOpened, .at = now, .service = packet.service, .flow = id});
}

template<SlotPolicy Policy>
FlowId BalancerCore<Policy>::insertFlow(TimePoint now, const CallerPacket &packet, TargetId target)
{
    const BalancerKey self = m_context.peers.self();
    const FlowId id{hashPair(hashPair(value(self.id), value(self.incarnation)), ++m_context.lastSerial)};
    Flow flow;
    flow.service = packet.service;
    flow.caller = packet.caller;
    flow.target = target;
    flow.lastActive = CoarseTime(now);
    m_context.flows.insert(id, flow);
    return id;
}

template<SlotPolicy Policy>
std::optional<ConnectionId> BalancerCore<Policy>::authenticateId(TimePoint now, ServiceId service, const SealedConnectionId &sealed)
{
    const std::optional<ConnectionId> id = m_context.sealer.open(sealed);
    if (!id) {
        m_context.reject(now, RejectReason::ForgedId);
        return std::nullopt;
    }
    if (id->service != service) {
        m_context.reject(now, RejectReason::WrongService);
        return std::nullopt;
    }
    return id;
}

template<SlotPolicy Policy>
std::optional<BalancerKey> BalancerCore<Policy>::route(const SealedConnectionId &sealed, ServiceId service) const
{
    const std::optional<ConnectionId> id = m_context.sealer.open(sealed);
    if (!id || id->service != service) {
        return std::nullopt;
    }
    return m_context.peers.resolve(id->owner);
}

template<SlotPolicy Policy>
template<typename Typed>
void BalancerCore<Policy>::onFlow(TimePoint now, const CallerPacket &packet, const Typed &message)
{
    const std::optional<ConnectionId> id = authenticateId(now, packet.service, message.connectionId);
    if (!id) {
        return;
    }
    if (const std::optional<BalancerKey> destination = m_handover.destination(id->flow)) {
        return onFlowHandedOver(now, packet, *id, *destination, message);
    }
    if (Flow *flow = m_context.flows.find(id->flow); flow != nullptr && flow->service == packet.service) {
        flow->lastActive = CoarseTime(now);
        flow->caller = packet.caller;
        return onOwnFlow(now, packet, *id, *flow, message);
    }
    const std::optional<BalancerKey> owner = m_context.peers.resolve(id->owner);
    if (!owner || *owner == m_context.peers.self()) {
        return onOwnerLost(now, packet, *id, message);
    }
    if (adoptFromStoppingOwner(now, packet, *id, message)) {
        return;
    }
    relay(now, packet, *owner, message);
}

template<SlotPolicy Policy>
void BalancerCore<Policy>::onOwnFlow(TimePoint now, const CallerPacket &packet, const ConnectionId &id, Flow &flow, const Request &request)
{
    const auto previous = m_previousOwners.find(value(id.flow));
    const bool receivedByHandover = previous != m_previousOwners.end() && packet.relay != previous->second.owner;
    if (receivedByHandover && flow.window.lookUp(request.request) != RequestAge::Fresh && !m_requests.isPending({id.flow, request.request})) {
        // The previous owner may have the answer cached; it keeps running for HandoverGracePeriod to resend it.
        if (m_context.peers.find(previous->second.owner.id) != nullptr && !m_requests.resend({id.flow, request.request}, packet.caller)) {
            relay(now, packet, previous->second.owner, request);
        }
        return;
    }
    if (id.owner != m_context.peers.self()) {
        sendMoved(packet, id.flow, id.flow);
    }
    m_requests.accept(now, id.flow, packet.caller, request);
}

template<SlotPolicy Policy>
void BalancerCore<Policy>::onOwnFlow(TimePoint now, const CallerPacket &, const ConnectionId &id, Flow &, const CancelRequest &cancel)
{
    m_requests.cancel(now, {id.flow, cancel.request});
}

template<SlotPolicy Policy>
void BalancerCore<Policy>::onOwnFlow(TimePoint now, const CallerPacket &packet, const ConnectionId &id, Flow &flow, const PollFeed &poll)
{
    const std::optional<BalancerKey> other = m_context.peers.stopping() ? m_context.peers.chooseSuccessor() : std::nullopt;
    if (other) {
        // The other balancer knows that this one is stopping, and adopts the flow.
        return relay(now, packet, *other, poll);
    }
    if (id.owner != m_context.peers.self()) {
        sendMoved(packet, id.flow, id.flow);
    }
    m_feeds.poll(now, id.flow, flow, poll.acknowledged);
}

// This balancer runs no request of a flow that it has handed over. It resends the cached answers of requests that were completed
// before, and relays everything else to the new owner.
template<SlotPolicy Policy>
void BalancerCore<Policy>::onFlowHandedOver(TimePoint now, const CallerPacket &packet, const ConnectionId &id, BalancerKey to, const Message &message)
{
    const auto *request = std::get_if<Request>(&message);
    if (request != nullptr && m_requests.resend({id.flow, request->request}, packet.caller)) {
        return;
    }
    if (packet.relay == to) {
        if (request != nullptr) {
            m_requests.refuseOutcomeUnknown(id.flow, packet.caller, request->request, RefusalReason::ForgottenFlow);
        }
        return;
    }
    relay(now, packet, to, message);
}

// The owner named in the connection id is gone, or no longer has the flow. The request may have run there, so it is neither run
// here nor reported as not run; the caller of a repeatable request sends it again under the new connection id.
template<SlotPolicy Policy>
void BalancerCore<Policy>::onOwnerLost(TimePoint now, const CallerPacket &packet, const ConnectionId &id, const Message &message)
{
    const std::optional<BalancerKey> other = m_context.peers.stopping() ? m_context.peers.chooseSuccessor() : std::nullopt;
    if (other) {
        return relay(now, packet, *other, message);
    }
    const FlowId flowId = adopt(now, packet, id);
    Flow *flow = m_context.flows.find(flowId);
    if (const auto *request = std::get_if<Request>(&message)) {
        m_requests.refuseOutcomeUnknown(id.flow, packet.caller, request->request, RefusalReason::OwnerGone);
    } else if (const auto *poll = std::get_if<PollFeed>(&message); poll != nullptr && flow != nullptr) {
        m_feeds.poll(now, flowId, *flow, poll->acknowledged);
    }
}

// Adopts a flow whose owner is stopping. Returns true if the packet need not be relayed to that owner.
template<SlotPolicy Policy>
bool BalancerCore<Policy>::adoptFromStoppingOwner(TimePoint now, const CallerPacket &packet, const ConnectionId &id, const Message &message)
{
    const Peer *peer = m_context.peers.find(id.owner.id);
    if (m_context.peers.stopping() || peer == nullptr || !peer->stopping || peer->incarnation != id.owner.incarnation) {
        return false;
    }
    const FlowId flowId = adopt(now, packet, id);
    const auto *poll = std::get_if<PollFeed>(&message);
    if (Flow *flow = m_context.flows.find(flowId); poll != nullptr && flow != nullptr) {
        m_feeds.poll(now, flowId, *flow, poll->acknowledged);
        return true;
    }
    return false;
}

template<SlotPolicy Policy>
FlowId BalancerCore<Policy>::adopt(TimePoint now, const CallerPacket &packet, const ConnectionId &id)
{
    const auto known = m_adopted.find(value(id.flow));
    if (known != m_adopted.end() && m_context.flows.find(known->second.flow) != nullptr) {
        known->second.at = now;
        Flow *flow = m_context.flows.find(known->second.flow);
        flow->lastActive = CoarseTime(now);
        flow->caller = packet.caller;
        sendMoved(packet, id.flow, known->second.flow);
        return known->second.flow;
    }
    const FlowId flow = insertFlow(now, packet, id.target);
    m_adopted[value(id.flow)] = {flow, now};
    ++m_context.counters.flowsAdopted;
    sendMoved(packet, id.flow, flow);
    m_context.observe({.kind = EventKind::FlowAdopted, .at = now, .service = packet.service, .flow = flow, .peer = id.owner.id});
    return flow;
}

template<SlotPolicy Policy>
void BalancerCore<Policy>::sendMoved(const CallerPacket &packet, FlowId previous, FlowId id)
{
    if (const Flow *flow = m_context.flows.find(id); flow != nullptr) {
        m_context.send(packet.caller, FlowMoved{previous, id, m_context.sealConnectionId(id, *flow)});
    }
}

// ---- Packets of targets ----

template<SlotPolicy Policy>
void BalancerCore<Policy>::handleTarget(TimePoint now, Endpoint target, const Message &message)
{
    dispatchTarget(now, target, nullptr, message);
}

template<SlotPolicy Policy>
void BalancerCore<Policy>::dispatchTarget(TimePoint now, Endpoint target, const RelayedPacket *relayed, const Message &message)
{
    if (const auto *announcement = std::get_if<Announcement>(&message)) {
        onTargetChanged(now, announcement->target, m_gossip.announce(now, *announcement));
    } else if (const auto *part = std::get_if<RunPart>(&message)) {
        if (acceptOrRelay(now, target, relayed, part->attempt, *part)) {
            m_requests.handleRunPart(now, *part);
        }
    } else if (const auto *refused = std::get_if<RunRefused>(&message)) {
        if (acceptOrRelay(now, target, relayed, refused->attempt, *refused)) {
            m_requests.handleRunRefused(now, *refused);
        }
    } else if (const auto *push = std::get_if<FeedPush>(&message)) {
        if (acceptOrRelay(now, target, relayed, push->attachment, *push)) {
            m_feeds.push(now, target, *push);
        }
    } else if (const auto *attached = std::get_if<FeedAttached>(&message)) {
        if (acceptOrRelay(now, target, relayed, attached->attachment, *attached)) {
            m_feeds.attached(target, *attached);
        }
    } else {
        m_context.reject(now, RejectReason::UnexpectedType);
    }
}

// Whether this incarnation of this balancer started the attempt; if not, the packet is relayed to the balancer that did.
template<SlotPolicy Policy>
template<typename Typed>
bool BalancerCore<Policy>::acceptOrRelay(TimePoint now, Endpoint target, const RelayedPacket *relayed, const AttemptKey &attempt, const Typed &message)
{
    if (attempt.owner == m_context.peers.self()) {
        return true;
    }
    relayTarget(now, target, relayed, attempt.owner, message);
    return false;
}

// A target would keep pushing a feed to an owner that is gone, so it is told to detach the feed.
template<SlotPolicy Policy>
void BalancerCore<Policy>::relayTarget(TimePoint now, Endpoint target, const RelayedPacket *relayed, BalancerKey owner, const Message &message)
{
    const Peer *peer = m_context.peers.find(owner.id);
    if (peer == nullptr || !peer->alive || peer->incarnation != owner.incarnation) {
        if (const auto *push = std::get_if<FeedPush>(&message)) {
            m_context.send(target, DetachFeed{push->attachment});
        }
        return;
    }
    const auto hops = static_cast<std::uint8_t>(relayed != nullptr ? relayed->hops + 1 : 1);
    if (hops > MaxRelayHops) {
        return m_context.reject(now, RejectReason::TooManyHops);
    }
    ++m_context.counters.packetsRelayed;
    m_context.send(peer->endpoint, RelayedPacket{m_context.peers.self(), ServiceId{}, target, hops, 0, encodeMessage(message)});
}

// ---- State changes and timers ----

template<SlotPolicy Policy>
void BalancerCore<Policy>::onTargetChanged(TimePoint now, TargetId target, AnnouncementEffect effect)
{
    if (effect == AnnouncementEffect::Drained) {
        m_feeds.rebindFrom(now, target);
        m_context.observe({.kind = EventKind::TargetDraining, .at = now, .target = target});
    } else if (effect == AnnouncementEffect::Joined) {
        m_context.observe({.kind = EventKind::TargetJoined, .at = now, .target = target});
    }
}

template<SlotPolicy Policy>
void BalancerCore<Policy>::tick(TimePoint now)
{
    if (!m_hasStarted) {
        m_started = now;
        m_hasStarted = true;
    }
    m_now = now;
    for (const BalancerKey &gone : m_context.peers.expire(now)) {
        m_requests.onPeerLost(now, gone);
        m_context.observe({.kind = EventKind::PeerGone, .at = now, .peer = gone.id});
    }
    expireTargets(now);
    m_requests.tick(now);
    m_gossip.tick(now);
    m_handover.tick(now, m_requests.idle());
    if (now >= m_nextSweep) {
        m_nextSweep = now + SweepInterval;
        sweep(now);
    }
}

template<SlotPolicy Policy>
void BalancerCore<Policy>::expireTargets(TimePoint now)
{
    std::vector<TargetId> serving;
    for (const Target &target : m_context.targets.targets()) {
        if (target.state != TargetState::Lost) {
            serving.push_back(target.id());
        }
    }
    if (!m_context.targets.expire(now)) {
        return;
    }
    for (const TargetId id : serving) {
        const Target *target = m_context.targets.find(id);
        if (target == nullptr || target->state != TargetState::Lost) {
            continue;
        }
        m_context.observe({.kind = EventKind::TargetLost, .at = now, .target = id});
        m_requests.onTargetLost(now, id);
        m_feeds.rebindFrom(now, id);
    }
}

template<SlotPolicy Policy>
void BalancerCore<Policy>::sweep(TimePoint now)
{
    std::vector<FlowId> expired;
    m_context.flows.forEach([&](FlowId id, Flow &flow) {
        if (flow.attachment != 0 && flow.lastActive.elapsed(now) >= FeedIdleTime) {
            m_feeds.detach(flow);
        }
        if (flow.activeRequests == 0 && flow.lastActive.elapsed(now) >= FlowIdleTime) {
            expired.push_back(id);
        }
    });
    for (const FlowId id : expired) {
        m_context.flows.erase(id);
        m_context.observe({.kind = EventKind::FlowExpired, .at = now, .flow = id});
    }
    std::erase_if(m_adopted, [now](const auto &entry) {
        return now - entry.second.at >= FlowIdleTime;
    });
    std::erase_if(m_previousOwners, [now](const auto &entry) {
        return now - entry.second.at >= AnswerCacheTime;
    });
}

template<SlotPolicy Policy>
void BalancerCore<Policy>::stop(TimePoint now, Duration linger)
{
    m_handover.begin(now, linger);
}

template<SlotPolicy Policy>
bool BalancerCore<Policy>::finished(TimePoint now) const
{
    return m_handover.finished(now);
}

template<SlotPolicy Policy>
bool BalancerCore<Policy>::ready() const
{
    const bool heard = m_heardPeer || (m_hasStarted && m_now - m_started >= NoPeerReadyDelay);
    return heard && m_context.bundleVersion > 0 && !m_context.peers.stopping();
}

template<SlotPolicy Policy>
std::vector<Outgoing> BalancerCore<Policy>::takeOutbox()
{
    return std::exchange(m_context.outbox, {});
}

template<SlotPolicy Policy>
BalancerContext &BalancerCore<Policy>::context()
{
    return m_context;
}

template<SlotPolicy Policy>
const BalancerContext &BalancerCore<Policy>::context() const
{
    return m_context;
}

template<SlotPolicy Policy>
std::size_t BalancerCore<Policy>::queued(ServiceId service) const
{
    return m_requests.queued(service);
}

template class BalancerCore<OptimisticSlots>;
template class BalancerCore<PartitionedTargets>;
template class BalancerCore<PartitionedSlotsNoOffload>;
template class BalancerCore<PartitionedSlots>;

} // namespace Robinrail

// SPDX-License-Identifier: MIT
// Flow steering: implementation.
#include "flow_steering.h"

#include "target_directory.h"
#include "target_probe.h"

#include <algorithm>
#include <utility>

namespace Robinrail {

namespace {

// Whether a sequence number comes before another in serial number arithmetic (RFC 1982).
bool precedes(std::uint32_t one, std::uint32_t other)
{
    return static_cast<std::int32_t>(one - other) < 0;
}

} // namespace

template<TargetSelectionPolicy Policy>
BasicFlowSteering<Policy>::BasicFlowSteering(DataCentreId dataCentre, double linkBytesPerSecond)
    : m_dataCentre(dataCentre)
    , m_flows(m_targets)
    , m_admission(dataCentre, linkBytesPerSecond)
    , m_candidates(dataCentre)
{
}

// ---- Routes ----

template<TargetSelectionPolicy Policy>
bool BasicFlowSteering<Policy>::apply(const RoutingTable &table)
{
    if (!m_routes.apply(table)) {
        return false;
    }
    m_admission.setServices(m_routes.table().services);
    return true;
}

template<TargetSelectionPolicy Policy>
std::uint64_t BasicFlowSteering<Policy>::version() const
{
    return m_routes.table().version;
}

template<TargetSelectionPolicy Policy>
void BasicFlowSteering<Policy>::setDrained(TimePoint now, std::span<const DataCentreId> drained)
{
    m_admission.forgetUsable();
    for (const DataCentreId dataCentre : m_routes.setDrained(drained)) {
        m_targets.startWarmup(dataCentre, now + m_routes.longestWarmup());
    }
}

template<TargetSelectionPolicy Policy>
void BasicFlowSteering<Policy>::setInformed()
{
    m_informed = true;
}

// ---- Packets ----

template<TargetSelectionPolicy Policy>
SteeringDecision BasicFlowSteering<Policy>::steer(TimePoint now, const FlowPacket &packet)
{
    const SteeringDecision decision = packet.opening ? steerOpening(now, packet) : steerEstablished(now, packet);
    ++m_counts[static_cast<std::size_t>(decision.reason)];
    return decision;
}

// Steers an opening packet. All copies go to the first target unless it is dead or the flow may not open there any more: if a
// second target answered as well, the caller would echo the token of the later answer, and only this balancer would know at which
// target the flow is open.
template<TargetSelectionPolicy Policy>
SteeringDecision BasicFlowSteering<Policy>::steerOpening(TimePoint now, const FlowPacket &packet)
{
    if (packet.maxQueueTime >= retransmissionDelay(packet.copy)) {
        return drop(SteeringReason::LateOpening);
    }
    const Route *route = m_routes.find(packet.route);
    if (route == nullptr) {
        return m_informed ? reset(SteeringReason::NoRoute, packet) : hold(SteeringReason::NotInformed);
    }
    const FlowKey key{packet.caller, packet.route};
    Flow *flow = m_flows.findOrAdd(now, key);
    if (flow != nullptr) {
        forgetEarlierFlow(now, packet, *flow);
        adoptPin(now, key, *flow, true);
    }
    if (flow != nullptr && flow->refused && packet.copy > 0) {
        return refuse(now, packet, *flow);
    }
    SteeringReason reason = SteeringReason::NewFlow;
    SteeredTarget *first = flow != nullptr ? m_targets.find(flow->target) : nullptr;
    if (first != nullptr && flow->isFixed() && packet.copy > 0) {
        // A retransmission for an open flow must not open it at a second target. A first copy is a new flow that reuses the port.
        const bool allowed = acceptsNewFlows(*first) && TargetCandidates::mayOpenAt(now, *first, *route, m_routes);
        return allowed ? forward(SteeringReason::RepeatedOpening, *first) : endAttempt(*flow);
    }
    if (first != nullptr && flow->isOpening(now)) {
        if (first->record.phase != TargetPhase::Left && !first->isGone(now)) {
            observeRepeatedOpening(now, packet, *flow, *first);
            if (TargetCandidates::mayOpenAt(now, *first, *route, m_routes)) {
                m_flows.assign(*flow, *first);
                return forward(SteeringReason::RepeatedOpening, *first);
            }
        }
        reason = SteeringReason::OtherTarget;
    }
    SelectionContext context{now, detail::FlowKeyHash()(key), m_dataCentre};
    // Only a first copy that was not forwarded here may be refused: any other may have opened its flow at a target.
    if (flow != nullptr && value(flow->target) == 0 && packet.copy == 0 && !admit(packet, *route, context)) {
        return refuse(now, packet, *flow);
    }
    SteeredTarget *target = choose(context, *route);
    if (target == nullptr) {
        return m_informed ? reset(SteeringReason::NoTarget, packet) : hold(SteeringReason::NotInformed);
    }
    if (flow != nullptr) {
        m_flows.assign(*flow, *target);
        flow->copy = packet.copy;
        flow->sentAt = CoarseTime(now);
        flow->openingSeenHere = true;
        flow->open = false;
        flow->openElsewhere = false;
        flow->openPinSent = false;
        flow->refused = false;
        flow->copiesElsewhere = packet.copy > 0 || reason == SteeringReason::OtherTarget;
        if (packet.copy == 0) {
            m_pins.openingForwarded(now, key);
        }
    }
    return forward(reason, *target);
}

// Ends an attempt to open a flow from the port of one that this balancer takes for open, so that the caller starts another one at
// once. If that flow is in fact open and the packet was late, the caller ignores the reset: its number is as far as possible from
// the last one that the caller acknowledged.
template<TargetSelectionPolicy Policy>
SteeringDecision BasicFlowSteering<Policy>::endAttempt(const Flow &flow)
{
    constexpr std::uint32_t HalfOfSequenceSpace = 1U << 31U;
    return {SteeringAction::Reset, SteeringReason::PortInUse, {}, {}, {}, flow.acknowledged + HalfOfSequenceSpace};
}

// Suspects and reports a target that did not answer an opening packet before its retransmission, unless it showed a sign of
// life since the first copy, or the own link was full: then it is slow or full, or a packet was lost.
template<TargetSelectionPolicy Policy>
void BasicFlowSteering<Policy>::observeRepeatedOpening(TimePoint now, const FlowPacket &packet, Flow &flow, SteeredTarget &target)
{
    const Duration waited = flow.sentAt.elapsed(now);
    if (packet.copy <= flow.copy || waited < MinRetransmitInterval) {
        return;
    }
    flow.copy = packet.copy;
    if (target.lastAlive + waited <= now && !m_admission.control().link().mayHaveLost(now)) {
        markSuspect(now, target);
        // One retransmission is enough for a probe: copies are sent after 200 and 600 ms, and in between the probe of 300 ms must
        // end, so there is no time to wait for a second one.
        report(target, ReportsForProbe);
    }
}

// Steers a packet of a flow that its target has answered; the token names the target.
template<TargetSelectionPolicy Policy>
SteeringDecision BasicFlowSteering<Policy>::steerEstablished(TimePoint now, const FlowPacket &packet)
{
    if (m_routes.wasRemoved(packet.route)) {
        return packet.reset ? drop(SteeringReason::RouteDropped) : reset(SteeringReason::RouteDropped, packet);
    }
    FlowToken token = packet.token;
    SteeringReason reason = SteeringReason::OpenFlow;
    const FlowKey key{packet.caller, packet.route};
    Flow *flow = m_flows.findOrAdd(now, key);
    if (flow != nullptr) {
        forgetEarlierFlow(now, packet, *flow);
        adoptPin(now, key, *flow, false);
    }
    if (flow != nullptr && flow->isFixed() && flow->target != token && m_targets.find(flow->target) != nullptr) {
        // Two targets answered copies of the opening packet. The flow is open at the one that its first further packet
        // named; the caller changed the token when the other answer arrived late.
        token = flow->target;
        reason = SteeringReason::PinnedFlow;
        m_pins.reportOpen(key, *flow);
    }
    SteeredTarget *target = m_targets.find(token);
    if (target == nullptr) {
        return m_informed ? drop(SteeringReason::UnknownToken) : hold(SteeringReason::UnknownToken);
    }
    if (target->record.phase == TargetPhase::Left && now - target->leftAt >= LeftTargetGrace) {
        return packet.reset ? drop(SteeringReason::TargetLeft) : reset(SteeringReason::TargetLeft, packet);
    }
    if (target->isGone(now) && packet.dataBytes > 0) {
        return reset(SteeringReason::TargetGone, packet);
    }
    if (flow != nullptr) {
        m_flows.assign(*flow, *target);
        observe(now, packet, *flow);
        if (std::exchange(flow->copiesElsewhere, false)) {
            m_pins.reportOpen(key, *flow);
        }
    }
    return forward(reason, *target);
}

// Updates the load counts and the target's health from a packet.
template<TargetSelectionPolicy Policy>
void BasicFlowSteering<Policy>::observe(TimePoint now, const FlowPacket &packet, Flow &flow)
{
    SteeredTarget &target = *m_targets.find(flow.target);
    const bool answered = !flow.open || precedes(flow.acknowledged, packet.acknowledged);
    // Data of a flow that was opened through another balancer may have been retransmitted there before, so that it says
    // nothing about the target's health now.
    const bool openedElsewhere = !flow.open && !flow.openingSeenHere && packet.dataBytes > 0;
    if (std::exchange(flow.openingSeenHere, false)) {
        m_openTimes.record(flow.sentAt.elapsed(now));
    }
    if (answered && flow.busy) {
        m_answerTimes.record(flow.sentAt.elapsed(now));
        // A retransmission through a full link took its time there, not at the target.
        if (!flow.retransmitted || !m_admission.control().link().mayHaveLost(now)) {
            m_admission.recordAnswer(now, target.record, flow.sentAt.elapsed(now));
        }
    }
    flow.position = packet.sequence;
    flow.open = true;
    flow.refused = false; // A later copy of the opening packet was admitted by another balancer.
    if (answered) {
        flow.acknowledged = packet.acknowledged;
        m_flows.setBusy(flow, false);
    }
    if (answered && !openedElsewhere) {
        m_targets.markAlive(now, target);
    }
    if (packet.dataBytes > 0) {
        flow.retransmitted = flow.busy && !precedes(flow.sequence, packet.sequence);
        if (!flow.retransmitted) {
            flow.sequence = packet.sequence;
            flow.sentAt = CoarseTime(now);
        } else if (target.lastAlive + flow.sentAt.elapsed(now) <= now && !m_admission.control().link().mayHaveLost(now)) {
            // The data is retransmitted, and no sign of life came from the target since its first transmission.
            markSuspect(now, target);
            report(target, 1);
        }
        m_flows.setBusy(flow, true);
    }
    if (packet.closing || packet.reset) {
        m_flows.release(flow);
    }
}

// ---- Target selection ----

template<TargetSelectionPolicy Policy>
SteeredTarget *BasicFlowSteering<Policy>::choose(const SelectionContext &context, const Route &route)
{
    SteeredTarget *target = chooseFromService(context, serviceOf(route, context.flowHash));
    for (std::size_t i = 0; target == nullptr && i < route.services.size(); ++i) {
        if (route.services[i].weight > 0) {
            target = chooseFromService(context, route.services[i].service);
        }
    }
    return target;
}

// Selects among the healthy targets; if there are none, among the suspect ones, then the silent ones, then those that are gone.
template<TargetSelectionPolicy Policy>
SteeredTarget *BasicFlowSteering<Policy>::chooseFromService(const SelectionContext &context, std::uint16_t service)
{
    const TargetChoices choices = m_candidates.choices(context.now, m_targets, m_routes, service, context.only);
    return choices.empty() ? nullptr : Policy::pick(choices, context);
}

template<TargetSelectionPolicy Policy>
bool BasicFlowSteering<Policy>::acceptsNewFlows(const SteeredTarget &target) const
{
    return TargetCandidates::acceptsNewFlows(target, m_routes);
}

// ---- Admission ----

// Whether a new flow is admitted. Limits the choice of its target to a data centre if only that one has room.
template<TargetSelectionPolicy Policy>
bool BasicFlowSteering<Policy>::admit(const FlowPacket &packet, const Route &route, SelectionContext &context)
{
    const std::uint16_t service = serviceOf(route, context.flowHash);
    const RequestObjective objective = m_routes.table().objectiveOf(route);
    const AdmissionDecision decision = m_admission.decide(context.now, service, objective, packet.caller, [&] {
        return m_candidates.usableDataCentres(context.now, m_targets, m_routes, service);
    });
    switch (decision.verdict) {
    case AdmissionVerdict::Anywhere:
        break;
    case AdmissionVerdict::DataCentre:
        context.only = decision.dataCentre;
        break;
    case AdmissionVerdict::RefusedByPools:
    case AdmissionVerdict::RefusedByLink:
        return false;
    }
    return true;
}

// Refuses a new flow before any target has seen it.
template<TargetSelectionPolicy Policy>
SteeringDecision BasicFlowSteering<Policy>::refuse(TimePoint now, const FlowPacket &packet, Flow &flow)
{
    m_flows.release(flow);
    flow = Flow{};
    flow.lastSeen = CoarseTime(now);
    flow.refused = true;
    return {SteeringAction::Reset, SteeringReason::Overloaded, {}, {}, {}, packet.opening ? 0 : packet.acknowledged};
}

template<TargetSelectionPolicy Policy>
void BasicFlowSteering<Policy>::recordBytes(std::size_t received, std::size_t sent)
{
    m_admission.recordBytes(received, sent);
}

template<TargetSelectionPolicy Policy>
const FlowAdmission &BasicFlowSteering<Policy>::admission() const
{
    return m_admission;
}

// ---- Opening pins ----

template<TargetSelectionPolicy Policy>
std::vector<OpeningPin> BasicFlowSteering<Policy>::takePins(TimePoint now)
{
    return m_pins.take(now, m_flows.all());
}

template<TargetSelectionPolicy Policy>
std::vector<OpeningPin> BasicFlowSteering<Policy>::takeAllPins(TimePoint now)
{
    return m_pins.takeAll(now, m_flows.all());
}

template<TargetSelectionPolicy Policy>
std::vector<OpeningPin> BasicFlowSteering<Policy>::takeRecentPins(TimePoint now)
{
    return m_pins.takeRecent(now, m_flows.all());
}

template<TargetSelectionPolicy Policy>
void BasicFlowSteering<Policy>::learnPin(TimePoint now, const OpeningPin &pin)
{
    m_pins.learn(now, pin, m_flows.all(), m_targets);
}

template<TargetSelectionPolicy Policy>
const OpeningPinCounts &BasicFlowSteering<Policy>::pinCounts() const
{
    return m_pins.counts();
}

// Forgets an open flow if a packet belongs to a later one from the same port, of which this balancer has not seen the first packets:
// it was paused, or they passed through other balancers. The former flow's target must not get packets of the later one.
template<TargetSelectionPolicy Policy>
void BasicFlowSteering<Policy>::forgetEarlierFlow(TimePoint now, const FlowPacket &packet, Flow &flow)
{
    if (flow.isFixed() && !flow.mayInclude(packet)) {
        m_flows.release(flow);
        flow = Flow{};
        flow.lastSeen = CoarseTime(now);
    }
}

// Takes over what another balancer has reported of a flow that this one does not know.
template<TargetSelectionPolicy Policy>
void BasicFlowSteering<Policy>::adoptPin(TimePoint now, const FlowKey &key, Flow &flow, bool opening)
{
    if (m_pins.applies(now, key, flow, opening)) {
        m_flows.release(flow);
        m_pins.adopt(key, flow);
    }
}

// ---- Unanswered targets ----

template<TargetSelectionPolicy Policy>
void BasicFlowSteering<Policy>::markSuspect(TimePoint now, SteeredTarget &target)
{
    if (!target.isSuspect(now)) {
        ++m_suspicions;
        m_targets.markSuspect(now, target);
    }
}

template<TargetSelectionPolicy Policy>
void BasicFlowSteering<Policy>::report(const SteeredTarget &target, int times)
{
    for (int i = 0; i < times && m_unanswered.size() < MaxReportsPerTick; ++i) {
        m_unanswered.push_back(target.record.key);
    }
}

template<TargetSelectionPolicy Policy>
std::vector<TargetKey> BasicFlowSteering<Policy>::takeUnanswered()
{
    return std::exchange(m_unanswered, {});
}

// ---- Flows ----

template<TargetSelectionPolicy Policy>
std::vector<FlowReset> BasicFlowSteering<Policy>::takeResets()
{
    return m_flows.takeResets();
}

template<TargetSelectionPolicy Policy>
void BasicFlowSteering<Policy>::tick(TimePoint now)
{
    m_admission.tick(now);
    if (now < m_sweepDue) {
        return;
    }
    m_sweepDue = now + FlowSweepInterval;
    const Duration tableIdle = m_routes.table().idleTimeout;
    const Duration idle = tableIdle > Duration{0} ? tableIdle : DefaultIdleTimeout;
    m_pins.expire(now, idle);
    m_flows.sweep(now, idle);
    m_targets.tick(now);
    m_routes.tick(now);
}

// ---- Decisions ----

template<TargetSelectionPolicy Policy>
SteeringDecision BasicFlowSteering<Policy>::forward(SteeringReason reason, const SteeredTarget &target)
{
    return {SteeringAction::Forward, reason, target.record.key, target.record.address, target.token, 0};
}

template<TargetSelectionPolicy Policy>
SteeringDecision BasicFlowSteering<Policy>::reset(SteeringReason reason, const FlowPacket &packet)
{
    m_flows.remove({packet.caller, packet.route});
    return {SteeringAction::Reset, reason, {}, {}, {}, packet.opening ? 0 : packet.acknowledged};
}

template<TargetSelectionPolicy Policy>
SteeringDecision BasicFlowSteering<Policy>::drop(SteeringReason reason)
{
    return {SteeringAction::Drop, reason, {}, {}, {}, 0};
}

template<TargetSelectionPolicy Policy>
SteeringDecision BasicFlowSteering<Policy>::hold(SteeringReason reason)
{
    return {SteeringAction::Hold, reason, {}, {}, {}, 0};
}

// ---- Accessors ----

template<TargetSelectionPolicy Policy>
SteeringTargets &BasicFlowSteering<Policy>::targets()
{
    return m_targets;
}

template<TargetSelectionPolicy Policy>
const SteeringTargets &BasicFlowSteering<Policy>::targets() const
{
    return m_targets;
}

template<TargetSelectionPolicy Policy>
const SteeringRoutes &BasicFlowSteering<Policy>::routes() const
{
    return m_routes;
}

template<TargetSelectionPolicy Policy>
std::size_t BasicFlowSteering<Policy>::flowCount() const
{
    return m_flows.all().size();
}

template<TargetSelectionPolicy Policy>
std::uint64_t BasicFlowSteering<Policy>::count(SteeringReason reason) const
{
    return m_counts[static_cast<std::size_t>(reason)];
}

template<TargetSelectionPolicy Policy>
std::uint64_t BasicFlowSteering<Policy>::suspicions() const
{
    return m_suspicions;
}

template<TargetSelectionPolicy Policy>
const LatencyHistogram &BasicFlowSteering<Policy>::openTimes() const
{
    return m_openTimes;
}

template<TargetSelectionPolicy Policy>
const LatencyHistogram &BasicFlowSteering<Policy>::answerTimes() const
{
    return m_answerTimes;
}

template<TargetSelectionPolicy Policy>
std::size_t BasicFlowSteering<Policy>::droppedRoutes() const
{
    return m_routes.removedRoutes();
}

template class BasicFlowSteering<HashSelection>;
template class BasicFlowSteering<LeastLoadedSelection>;
template class BasicFlowSteering<PowerOfTwoSelection>;

} // namespace Robinrail

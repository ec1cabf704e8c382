// SPDX-License-Identifier: MIT
// Flow steering: implementation.
#include "flow_steering.h"

#include "hash.h"
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

constexpr std::array<std::string_view, SteeringReasonCount> ReasonNames = {"new-flow",
                                                                           "repeated-opening",
                                                                           "other-target",
                                                                           "open-flow",
                                                                           "pinned-flow",
                                                                           "no-route",
                                                                           "no-target",
                                                                           "route-dropped",
                                                                           "target-left",
                                                                           "target-gone",
                                                                           "unknown-token",
                                                                           "not-informed",
                                                                           "overloaded",
                                                                           "late-opening"};

} // namespace

std::string_view nameOf(SteeringReason reason)
{
    return ReasonNames[static_cast<std::size_t>(reason)];
}

template<TargetSelectionPolicy Policy>
BasicFlowSteering<Policy>::BasicFlowSteering(DataCentreId dataCentre, double linkBytesPerSecond)
    : m_dataCentre(dataCentre)
    , m_admission(dataCentre, linkBytesPerSecond)
{
}

// ---- Routes ----

template<TargetSelectionPolicy Policy>
bool BasicFlowSteering<Policy>::apply(const RoutingTable &table)
{
    const std::vector<std::string> services = m_routes.table().services;
    if (!m_routes.apply(table)) {
        return false;
    }
    m_usableDataCentres.clear();
    if (m_routes.table().services != services) {
        indexServices();
    }
    return true;
}

// Pools are identified by the index of their service, so they start again when the services change.
template<TargetSelectionPolicy Policy>
void BasicFlowSteering<Policy>::indexServices()
{
    m_admission.reset();
    m_serviceIndices.clear();
    for (const std::string &service : m_routes.table().services) {
        m_serviceIndices.emplace(service, static_cast<std::uint16_t>(m_serviceIndices.size()));
    }
}

template<TargetSelectionPolicy Policy>
std::string BasicFlowSteering<Policy>::serviceName(std::uint16_t service) const
{
    return service < m_routes.table().services.size() ? m_routes.table().services[service] : std::string();
}

template<TargetSelectionPolicy Policy>
std::uint64_t BasicFlowSteering<Policy>::version() const
{
    return m_routes.table().version;
}

template<TargetSelectionPolicy Policy>
void BasicFlowSteering<Policy>::setDrained(TimePoint now, std::span<const DataCentreId> drained)
{
    m_usableDataCentres.clear();
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

// Steers an opening packet. A duplicate goes to the same target. A retransmission means that the target has not answered for
// 200 ms or more, or that a packet was lost; in both cases another target is more likely to answer.
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
    Flow *flow = findOrAdd(now, key);
    if (flow != nullptr && flow->refused && packet.copy > 0) {
        return refuse(now, packet, *flow);
    }
    SteeringReason reason = SteeringReason::NewFlow;
    FlowToken avoid{};
    // A retransmission for an open flow must not open it at a second target. A first copy is a new flow that reuses the port.
    const bool late = flow != nullptr && flow->open && packet.copy > 0;
    if (late || (flow != nullptr && !flow->open && value(flow->target) != 0)) {
        SteeredTarget *first = m_targets.find(flow->target);
        const bool tooSoon = flow->sentAt.elapsed(now) < MinRetransmitInterval;
        const bool stays = first != nullptr && acceptsNewFlows(*first);
        if (late && first != nullptr && !stays) {
            return drop(SteeringReason::LateOpening);
        }
        if ((late || packet.copy <= flow->copy || tooSoon) && stays) {
            return forward(SteeringReason::RepeatedOpening, *first);
        }
        if (packet.copy > flow->copy && first != nullptr) {
            markSuspect(now, *first);
            avoid = flow->target;
            reason = SteeringReason::OtherTarget;
        }
    }
    SelectionContext context{now, detail::FlowKeyHash()(key), m_dataCentre};
    // Only a first copy that was not forwarded here may be refused: any other may have opened its flow at a target.
    if (flow != nullptr && value(flow->target) == 0 && packet.copy == 0) {
        const std::uint16_t service = serviceOf(*route, context.flowHash);
        const std::uint64_t callerHash = hashPair(packet.caller.address, 0);
        const AdmissionDecision admission =
            m_admission.decide(now, service, m_routes.table().objectiveOf(*route), callerHash, usableDataCentres(now, service));
        if (admission.verdict == AdmissionVerdict::RefusedByPools || admission.verdict == AdmissionVerdict::RefusedByLink) {
            return refuse(now, packet, *flow);
        }
        if (admission.verdict == AdmissionVerdict::DataCentre) {
            context.only = admission.dataCentre;
        }
    }
    SteeredTarget *target = choose(context, *route, avoid);
    if (target == nullptr) {
        return m_informed ? reset(SteeringReason::NoTarget, packet) : hold(SteeringReason::NotInformed);
    }
    if (flow != nullptr) {
        assign(*flow, *target);
        flow->copy = packet.copy;
        flow->sentAt = CoarseTime(now);
        flow->openingSeenHere = true;
        flow->open = false;
        flow->refused = false;
    }
    return forward(reason, *target);
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
    Flow *flow = findOrAdd(now, {packet.caller, packet.route});
    if (flow != nullptr && flow->open && flow->target != token && m_targets.find(flow->target) != nullptr) {
        // Two targets answered copies of the opening packet. The flow is open at the one that its first further packet
        // named; the caller changed the token when the other answer arrived late.
        token = flow->target;
        reason = SteeringReason::PinnedFlow;
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
        assign(*flow, *target);
        observe(now, packet, *flow);
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
        recordAnswer(now, target, flow.sentAt.elapsed(now));
    }
    flow.open = true;
    if (answered) {
        flow.acknowledged = packet.acknowledged;
        setBusy(flow, false);
    }
    if (answered && !openedElsewhere) {
        m_targets.markAlive(now, target);
    }
    if (packet.dataBytes > 0) {
        const bool retransmitted = flow.busy && !precedes(flow.sequence, packet.sequence);
        if (!retransmitted) {
            flow.sequence = packet.sequence;
            flow.sentAt = CoarseTime(now);
        } else if (target.lastAlive + flow.sentAt.elapsed(now) <= now) {
            // The data is retransmitted, and no sign of life came from the target since its first transmission.
            markSuspect(now, target);
            if (m_unanswered.size() < MaxReportsPerTick) {
                m_unanswered.push_back(target.record.key);
            }
        }
        setBusy(flow, true);
    }
    if (packet.closing || packet.reset) {
        release(flow);
    }
}

// ---- Target selection ----

template<TargetSelectionPolicy Policy>
SteeredTarget *BasicFlowSteering<Policy>::choose(const SelectionContext &context, const Route &route, FlowToken avoid)
{
    SteeredTarget *target = chooseFromService(context, serviceOf(route, context.flowHash), avoid);
    for (std::size_t i = 0; target == nullptr && i < route.services.size(); ++i) {
        if (route.services[i].weight > 0) {
            target = chooseFromService(context, route.services[i].service, avoid);
        }
    }
    return target;
}

// Selects among the unimpaired targets; if there are none, among suspect ones as well, then silent ones, then the avoided
// one.
template<TargetSelectionPolicy Policy>
SteeredTarget *BasicFlowSteering<Policy>::chooseFromService(const SelectionContext &context, std::uint16_t service, FlowToken avoid)
{
    enum class Impairment : std::uint8_t {
        None,
        Suspect,
        Silent,
        Avoided,
    };
    const auto impairmentOf = [&](const SteeredTarget &target) {
        if (target.token == avoid) {
            return Impairment::Avoided;
        }
        if (!m_targets.reportedAlive(target)) {
            return Impairment::Silent;
        }
        return target.isSuspect(context.now) ? Impairment::Suspect : Impairment::None;
    };
    const bool excludeWarming = m_routes.table().warmupOf(service).limited;
    const auto eligible = [&](const SteeredTarget &target) {
        return acceptsNewFlows(target) && !(excludeWarming && context.now < target.warmupEnd)
            && (!context.only || target.record.dataCentre == *context.only);
    };
    const std::span<SteeredTarget *const> targets = m_targets.ofService(m_routes.table().services[service]);
    for (const Impairment worst : {Impairment::None, Impairment::Suspect, Impairment::Silent, Impairment::Avoided}) {
        m_candidates.clear();
        std::copy_if(targets.begin(), targets.end(), std::back_inserter(m_candidates), [&](const SteeredTarget *target) {
            return eligible(*target) && impairmentOf(*target) <= worst;
        });
        if (!m_candidates.empty()) {
            return Policy::pick(m_candidates, context);
        }
    }
    return nullptr;
}

template<TargetSelectionPolicy Policy>
bool BasicFlowSteering<Policy>::acceptsNewFlows(const SteeredTarget &target) const
{
    return target.record.phase == TargetPhase::Serving && !target.tokenCollision && !m_routes.isDrained(target.record.dataCentre);
}

// Distributes flows by weight using the flow's hash, so that all copies of an opening packet get the same service.
template<TargetSelectionPolicy Policy>
std::uint16_t BasicFlowSteering<Policy>::serviceOf(const Route &route, std::uint64_t flowHash)
{
    std::uint64_t total = 0;
    for (const WeightedService &service : route.services) {
        total += service.weight;
    }
    std::uint64_t point = total > 0 ? hashPair(flowHash, total) % total : 0;
    for (const WeightedService &service : route.services) {
        if (point < service.weight) {
            return service.service;
        }
        point -= service.weight;
    }
    return route.services.front().service;
}

// ---- Admission ----

// Refuses a new flow without a word to any target.
template<TargetSelectionPolicy Policy>
SteeringDecision BasicFlowSteering<Policy>::refuse(TimePoint now, const FlowPacket &packet, Flow &flow)
{
    release(flow);
    flow = Flow{};
    flow.lastSeen = CoarseTime(now);
    flow.refused = true;
    return {SteeringAction::Reset, SteeringReason::Overloaded, {}, {}, {}, packet.opening ? 0 : packet.acknowledged};
}

// The data centres with targets of a service that may get new flows; computed once per tick, as it is needed for each new flow.
template<TargetSelectionPolicy Policy>
std::span<const DataCentreId> BasicFlowSteering<Policy>::usableDataCentres(TimePoint now, std::uint16_t service)
{
    const auto [at, added] = m_usableDataCentres.try_emplace(service);
    if (added) {
        const bool excludeWarming = m_routes.table().warmupOf(service).limited;
        for (const SteeredTarget *target : m_targets.ofService(m_routes.table().services[service])) {
            const bool usable = acceptsNewFlows(*target) && m_targets.reportedAlive(*target) && !(excludeWarming && now < target->warmupEnd);
            if (usable && std::find(at->second.begin(), at->second.end(), target->record.dataCentre) == at->second.end()) {
                at->second.push_back(target->record.dataCentre);
            }
        }
    }
    return at->second;
}

template<TargetSelectionPolicy Policy>
void BasicFlowSteering<Policy>::recordAnswer(TimePoint now, const SteeredTarget &target, Duration answerTime)
{
    const auto service = m_serviceIndices.find(target.record.service);
    if (service != m_serviceIndices.end()) {
        m_admission.recordAnswer(now, {service->second, target.record.dataCentre}, answerTime);
    }
}

template<TargetSelectionPolicy Policy>
void BasicFlowSteering<Policy>::recordBytes(std::size_t received, std::size_t sent)
{
    m_admission.recordBytes(received, sent);
}

template<TargetSelectionPolicy Policy>
const AdmissionControl &BasicFlowSteering<Policy>::admission() const
{
    return m_admission;
}

// ---- Flows ----

template<TargetSelectionPolicy Policy>
detail::SteeredFlow *BasicFlowSteering<Policy>::findOrAdd(TimePoint now, const FlowKey &key)
{
    auto at = m_flows.find(key);
    if (at == m_flows.end()) {
        if (m_flows.size() >= MaxSteeredFlows) {
            return nullptr;
        }
        at = m_flows.emplace(key, Flow{}).first;
    }
    at->second.lastSeen = CoarseTime(now);
    return &at->second;
}

template<TargetSelectionPolicy Policy>
void BasicFlowSteering<Policy>::assign(Flow &flow, SteeredTarget &target)
{
    if (flow.counted && flow.target == target.token) {
        return;
    }
    release(flow);
    flow.target = target.token;
    flow.counted = true;
    ++target.flows;
}

template<TargetSelectionPolicy Policy>
void BasicFlowSteering<Policy>::release(Flow &flow)
{
    setBusy(flow, false);
    SteeredTarget *target = flow.counted ? m_targets.find(flow.target) : nullptr;
    if (target != nullptr && target->flows > 0) {
        --target->flows;
    }
    flow.counted = false;
}

template<TargetSelectionPolicy Policy>
void BasicFlowSteering<Policy>::setBusy(Flow &flow, bool busy)
{
    SteeredTarget *target = flow.busy != busy ? m_targets.find(flow.target) : nullptr;
    if (target != nullptr) {
        target->busy = busy ? target->busy + 1 : std::max(target->busy, 1U) - 1;
    }
    flow.busy = busy;
}

template<TargetSelectionPolicy Policy>
void BasicFlowSteering<Policy>::markSuspect(TimePoint now, SteeredTarget &target)
{
    if (!target.isSuspect(now)) {
        ++m_suspicions;
        m_targets.markSuspect(now, target);
    }
}

template<TargetSelectionPolicy Policy>
std::vector<TargetKey> BasicFlowSteering<Policy>::takeUnanswered()
{
    return std::exchange(m_unanswered, {});
}

template<TargetSelectionPolicy Policy>
std::vector<FlowReset> BasicFlowSteering<Policy>::takeResets()
{
    std::vector<FlowReset> resets;
    if (!m_targets.anyResetPending()) {
        return resets;
    }
    boost::unordered::erase_if(m_flows, [&](auto &each) {
        auto &[key, flow] = each;
        const SteeredTarget *target = flow.counted ? m_targets.find(flow.target) : nullptr;
        if (target == nullptr || !target->resetPending || resets.size() >= MaxResetsPerTick) {
            return false;
        }
        if (flow.open) {
            resets.push_back({key, target->record.key, flow.acknowledged});
        }
        release(flow);
        return true;
    });
    if (resets.size() < MaxResetsPerTick) {
        m_targets.clearResetPending();
    }
    return resets;
}

template<TargetSelectionPolicy Policy>
void BasicFlowSteering<Policy>::tick(TimePoint now)
{
    m_admission.tick(now);
    m_usableDataCentres.clear();
    if (now < m_sweepDue) {
        return;
    }
    m_sweepDue = now + FlowSweepInterval;
    const Duration tableIdle = m_routes.table().idleTimeout;
    const Duration idle = tableIdle > Duration{0} ? tableIdle : DefaultIdleTimeout;
    boost::unordered::erase_if(m_flows, [&](auto &each) {
        Flow &flow = each.second;
        if (flow.busy && flow.sentAt.elapsed(now) >= MaxBusyTime) {
            setBusy(flow, false);
        }
        if (flow.lastSeen.elapsed(now) < idle) {
            return false;
        }
        release(flow);
        return true;
    });
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
    const auto flow = m_flows.find(FlowKey{packet.caller, packet.route});
    if (flow != m_flows.end()) {
        release(flow->second);
        m_flows.erase(flow);
    }
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
std::size_t BasicFlowSteering<Policy>::flowCount() const
{
    return m_flows.size();
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

// SPDX-License-Identifier: MIT
// Flow steering: decides where each packet of a flow goes, as a state machine without I/O.
//
// The token in each packet names the flow's target, so any balancer can route any packet; the flow table only improves the
// choice of targets for new flows. Related: Cheetah (Barbette et al., NSDI 2020) and QUIC-LB.
#pragma once

#include "flow_admission.h"
#include "metrics.h"
#include "opening_pins.h"
#include "steered_flow_table.h"
#include "steering_decision.h"
#include "steering_routes.h"
#include "target_candidates.h"
#include "target_selection.h"

#include <array>
#include <vector>

namespace Robinrail {

// A target that announced that it left still processes what its sockets hold; packets of its flows are reset after this.
inline constexpr Duration LeftTargetGrace = std::chrono::seconds(1);

// Idle time after which a flow is forgotten, unless the routing table sets one.
inline constexpr Duration DefaultIdleTimeout = std::chrono::seconds(15);

// Copies of an opening packet are sent at least 200 ms apart. If two arrive closer together, they were delayed in the
// network, and the later one is no evidence that the target did not answer the first.
inline constexpr Duration MinRetransmitInterval = std::chrono::milliseconds(120);

// Interval at which the flow table is searched for idle flows.
inline constexpr Duration FlowSweepInterval = std::chrono::seconds(2);

template<TargetSelectionPolicy Policy>
class BasicFlowSteering
{
public:
    // `linkBytesPerSecond`: capacity of this balancer's link in each direction, 0 if it is not known.
    explicit BasicFlowSteering(DataCentreId dataCentre, double linkBytesPerSecond = 0);

    BasicFlowSteering(const BasicFlowSteering &) = delete;
    BasicFlowSteering &operator=(const BasicFlowSteering &) = delete;

    // Puts a table in force if it is newer than the present one; returns whether it was.
    bool apply(const RoutingTable &table);
    std::uint64_t version() const;

    SteeringTargets &targets();
    const SteeringTargets &targets() const;

    // Replaces the set of data centres that get no new flows; open flows stay. Targets of a data centre whose drain ends
    // count as warming up, as they were idle.
    void setDrained(TimePoint now, std::span<const DataCentreId> drained);

    // The balancer now knows all routes and targets, so that unknown ones don't exist. Before this call, opening packets
    // without a route or target and other packets with an unknown token are held.
    void setInformed();

    SteeringDecision steer(TimePoint now, const FlowPacket &packet);

    void tick(TimePoint now);

    // Open flows whose targets were marked as gone, to be reset now: callers otherwise learn it only from the deadline of
    // their next request. Call it at each tick.
    std::vector<FlowReset> takeResets();

    // Targets that did not answer data or an opening packet before its retransmission, to be reported: one entry per
    // retransmission of data, ReportsForProbe per retransmission of an opening packet.
    std::vector<TargetKey> takeUnanswered();

    // Pins to be sent to the other balancers: at each tick; when this balancer begins to stop; and at each tick from then on.
    std::vector<OpeningPin> takePins(TimePoint now);
    std::vector<OpeningPin> takeAllPins(TimePoint now);
    std::vector<OpeningPin> takeRecentPins(TimePoint now);

    // Handles a pin that another balancer sent.
    void learnPin(TimePoint now, const OpeningPin &pin);
    const OpeningPinCounts &pinCounts() const;

    std::size_t flowCount() const;
    std::uint64_t count(SteeringReason reason) const;
    std::uint64_t suspicions() const;

    const FlowAdmission &admission() const;
    const SteeringRoutes &routes() const;

    // Counts the bytes that this balancer received and sent on its link.
    void recordBytes(std::size_t received, std::size_t sent);

    // From the first copy of an opening packet to the caller's next packet; from a request's data to the first acknowledgement
    // of its answer.
    const LatencyHistogram &openTimes() const;
    const LatencyHistogram &answerTimes() const;

    // Number of removed routes that are still remembered to reset their flows.
    std::size_t droppedRoutes() const;

private:
    using Flow = detail::SteeredFlow;

    SteeringDecision steerOpening(TimePoint now, const FlowPacket &packet);
    SteeringDecision endAttempt(const Flow &flow);
    SteeringDecision steerEstablished(TimePoint now, const FlowPacket &packet);
    SteeringDecision forward(SteeringReason reason, const SteeredTarget &target);
    SteeringDecision reset(SteeringReason reason, const FlowPacket &packet);
    SteeringDecision drop(SteeringReason reason);
    SteeringDecision hold(SteeringReason reason);
    bool admit(const FlowPacket &packet, const Route &route, SelectionContext &context);
    SteeringDecision refuse(TimePoint now, const FlowPacket &packet, Flow &flow);
    SteeredTarget *choose(const SelectionContext &context, const Route &route);
    SteeredTarget *chooseFromService(const SelectionContext &context, std::uint16_t service);
    bool acceptsNewFlows(const SteeredTarget &target) const;
    void observe(TimePoint now, const FlowPacket &packet, Flow &flow);
    void observeRepeatedOpening(TimePoint now, const FlowPacket &packet, Flow &flow, SteeredTarget &target);
    void forgetEarlierFlow(TimePoint now, const FlowPacket &packet, Flow &flow);
    void adoptPin(TimePoint now, const FlowKey &key, Flow &flow, bool opening);
    void markSuspect(TimePoint now, SteeredTarget &target);
    void report(const SteeredTarget &target, int times);

    DataCentreId m_dataCentre;
    bool m_informed = false;
    SteeringRoutes m_routes;
    SteeringTargets m_targets;
    SteeredFlowTable m_flows;
    FlowAdmission m_admission;
    OpeningPinExchange m_pins;
    TimePoint m_sweepDue;
    TargetCandidates m_candidates;
    std::array<std::uint64_t, SteeringReasonCount> m_counts{};
    std::uint64_t m_suspicions = 0;
    std::vector<TargetKey> m_unanswered;
    LatencyHistogram m_openTimes;
    LatencyHistogram m_answerTimes;
};

extern template class BasicFlowSteering<HashSelection>;
extern template class BasicFlowSteering<LeastLoadedSelection>;
extern template class BasicFlowSteering<PowerOfTwoSelection>;
using FlowSteering = BasicFlowSteering<PowerOfTwoSelection>;

} // namespace Robinrail

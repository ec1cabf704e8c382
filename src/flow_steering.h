// SPDX-License-Identifier: MIT
// Flow steering: decides where each packet of a flow goes, as a state machine without I/O.
//
// The token in each packet names the flow's target, so any balancer can route any packet; the flow table only improves the
// choice of targets for new flows. Related: Cheetah (Barbette et al., NSDI 2020) and QUIC-LB.
#pragma once

#include "flow_admission.h"
#include "metrics.h"
#include "opening_pins.h"
#include "steered_flow.h"
#include "steering_routes.h"
#include "target_candidates.h"
#include "target_selection.h"

#include <array>
#include <vector>

namespace Robinrail {

// A target that announced that it left still processes what its sockets hold; packets of its flows are reset after this.
inline constexpr Duration LeftTargetGrace = std::chrono::seconds(1);

// A request without a sign of an answer is no longer counted as load after this. The longest deadline of an interactive
// request is 3 s.
inline constexpr Duration MaxBusyTime = std::chrono::seconds(4);

// Idle time after which a flow is forgotten, unless the routing table sets one.
inline constexpr Duration DefaultIdleTimeout = std::chrono::seconds(15);

// Capacity of the flow table, 16 MiB at 64 bytes per flow; further flows are steered by token alone.
inline constexpr std::size_t MaxSteeredFlows = 200'000;

// Copies of an opening packet are sent at least 200 ms apart. If two arrive closer together, they were delayed in the
// network, and the later one is no evidence that the target did not answer the first.
inline constexpr Duration MinRetransmitInterval = std::chrono::milliseconds(120);

// Interval at which the flow table is searched for idle flows.
inline constexpr Duration FlowSweepInterval = std::chrono::seconds(2);

enum class SteeringAction : std::uint8_t {
    Forward,
    Reset,
    Drop,
    Hold, // To be steered again when more routes or targets are known.
};

enum class SteeringReason : std::uint8_t {
    NewFlow,
    RepeatedOpening, // A duplicate or a retransmission; goes to the same target.
    OtherTarget, // A retransmission; the first target has left or is gone.
    OpenFlow,
    PinnedFlow, // The token named another target than the one at which the flow is open.
    NoRoute,
    NoTarget,
    RouteDropped,
    TargetLeft,
    TargetGone, // The target was recently marked as gone; the flow may be new to this balancer.
    UnknownToken,
    NotInformed, // This balancer has just started and may not know the route or its targets yet.
    Overloaded, // The targets that may be used, or this balancer's link, can take no more new flows.
    LateOpening, // Queued during a stall, or a late copy for an open flow: forwarding it could open the flow at a second target.
};

inline constexpr std::size_t SteeringReasonCount = 14;

std::string_view nameOf(SteeringReason reason);

struct SteeringDecision {
    SteeringAction action = SteeringAction::Drop;
    SteeringReason reason = SteeringReason::UnknownToken;
    TargetKey target{}; // Forward only, like the next two.
    Endpoint address;
    FlowToken token{};
    std::uint32_t resetSequence = 0; // Reset only.
};

// A reset that this balancer sends without a packet from the caller.
struct FlowReset {
    FlowKey flow;
    TargetKey target{};
    std::uint32_t sequence = 0; // Last number that the caller acknowledged, which a reset must carry.
};

// Most resets per call of takeResets(); the rest follow with the next call.
inline constexpr std::size_t MaxResetsPerTick = 512;

template<TargetSelectionPolicy Policy>
class BasicFlowSteering
{
public:
    // `linkBytesPerSecond`: capacity of this balancer's link in each direction, 0 if it is not known.
    explicit BasicFlowSteering(DataCentreId dataCentre, double linkBytesPerSecond = 0);

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

    // Pins to be sent to the other balancers: at each tick, and when this balancer is stopped.
    std::vector<OpeningPin> takePins(TimePoint now);
    std::vector<OpeningPin> takeAllPins(TimePoint now);

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
    SteeringDecision steerEstablished(TimePoint now, const FlowPacket &packet);
    SteeringDecision forward(SteeringReason reason, const SteeredTarget &target);
    SteeringDecision reset(SteeringReason reason, const FlowPacket &packet);
    SteeringDecision drop(SteeringReason reason);
    SteeringDecision hold(SteeringReason reason);
    bool admit(const FlowPacket &packet, const Route &route, SelectionContext &context);
    SteeringDecision refuse(TimePoint now, const FlowPacket &packet, Flow &flow);
    SteeredTarget *choose(const SelectionContext &context, const Route &route);
    SteeredTarget *chooseFromService(const SelectionContext &context, std::uint16_t service);
    static std::uint16_t serviceOf(const Route &route, std::uint64_t flowHash);
    bool acceptsNewFlows(const SteeredTarget &target) const;
    void observe(TimePoint now, const FlowPacket &packet, Flow &flow);
    void observeRepeatedOpening(TimePoint now, const FlowPacket &packet, Flow &flow, SteeredTarget &target);
    Flow *findOrAdd(TimePoint now, const FlowKey &key);
    void adoptPin(TimePoint now, const FlowKey &key, Flow &flow, bool opening);
    void assign(Flow &flow, SteeredTarget &target);
    void release(Flow &flow);
    void setBusy(Flow &flow, bool busy);
    void markSuspect(TimePoint now, SteeredTarget &target);
    void report(const SteeredTarget &target, int times);

    DataCentreId m_dataCentre;
    bool m_informed = false;
    SteeringRoutes m_routes;
    SteeringTargets m_targets;
    FlowAdmission m_admission;
    SteeredFlows m_flows;
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

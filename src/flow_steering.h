// SPDX-License-Identifier: MIT
// Flow steering: where each packet of a flow goes, as a state machine without I/O.
//
// The token in each packet names the flow's target, so any balancer routes any packet; the table of flows
// below only helps it to choose well. Kin: Cheetah (Barbette et al., NSDI 2020) and QUIC-LB.
#pragma once

#include "metrics.h"
#include "steering_choice.h"
#include "steering_routes.h"

#include <array>
#include <vector>

namespace Robinrail {

// A target whose end was announced still empties its sockets; only after this are packets of its flows reset.
inline constexpr Duration LeftTargetGrace = std::chrono::seconds(1);

// A request without a sign of its answer is no longer counted as load after this. The longest time budget of
// an interactive request is 3 s.
inline constexpr Duration MaxBusyTime = std::chrono::seconds(4);

// Flows are forgotten after this without a packet, unless the routing table gives a time.
inline constexpr Duration DefaultIdleTimeout = std::chrono::seconds(15);

// Most flows in the table; beyond it flows are steered by token alone. At 64 bytes each, 16 MiB.
inline constexpr std::size_t MaxSteeredFlows = 200'000;

// Copies of an opening packet are sent 200 ms and more apart. Two that come closer together were held up on
// their way, and the later one says nothing about the target that got the first.
inline constexpr Duration MinRetransmitInterval = std::chrono::milliseconds(120);

// How often the table of flows is searched for old ones.
inline constexpr Duration FlowSweepInterval = std::chrono::seconds(2);

enum class SteeringAction : std::uint8_t {
    Forward,
    Reset,
    Drop,
    Hold, // Steer it again once this balancer is informed.
};

enum class SteeringReason : std::uint8_t {
    NewFlow,
    RepeatedOpening, // The same copy once more: the same target.
    OtherTarget, // A later copy: the first target stayed silent.
    OpenFlow,
    PinnedFlow, // The token named another target than the one where the flow opened.
    NoRoute,
    NoTarget,
    RouteDropped,
    TargetLeft,
    TargetGone, // It was taken for gone a moment ago; this flow is new here.
    UnknownToken,
    NotInformed, // This balancer was just started and may not know the route or its targets yet.
    LateOpening, // Waited through a standstill of this balancer: a copy of it has opened the flow elsewhere by now.
};

inline constexpr std::size_t SteeringReasonCount = 13;

std::string_view nameOf(SteeringReason reason);

struct SteeringDecision {
    SteeringAction action = SteeringAction::Drop;
    SteeringReason reason = SteeringReason::UnknownToken;
    TargetKey target{}; // Of Forward, like the next two.
    Endpoint address;
    FlowToken token{};
    std::uint32_t resetSequence = 0; // Of Reset.
};

// A flow that this balancer resets of its own accord.
struct FlowReset {
    FlowKey flow;
    TargetKey target{};
    std::uint32_t sequence = 0; // What the caller acknowledged last, as a reset must name.
};

// Most resets that one tick gives; the rest wait for the next one.
inline constexpr std::size_t MaxResetsPerTick = 512;

namespace detail {

struct SteeredFlow {
    FlowToken target{};
    CoarseTime seen;
    CoarseTime sentAt; // Of the newest data; of the newest copy of the opening packet before that.
    std::uint32_t sequence = 0; // Of the newest data.
    std::uint32_t acknowledged = 0;
    std::uint8_t copy = 0;
    bool open = false;
    bool busy = false;
    bool counted = false; // Among the flows of its target.
    bool openingSeenHere = false; // Its opening packet came here, at sentAt, and no other packet has come since.
};

struct FlowKeyHash {
    std::size_t operator()(const FlowKey &key) const
    {
        const auto pack = [](Endpoint endpoint) {
            return std::uint64_t{endpoint.address} << 16U | endpoint.port;
        };
        return hashPair(pack(key.caller), pack(key.route));
    }
};

} // namespace detail

template<TargetSelectionPolicy Choice>
class BasicFlowSteering
{
public:
    explicit BasicFlowSteering(DataCentreId dataCentre);

    // Puts a table in force; an older one than the present is ignored. Whether it was taken.
    bool apply(const RoutingTable &table);
    std::uint64_t version() const;

    SteeringTargets &targets();
    const SteeringTargets &targets() const;

    // From now on these data centres get no new flows, and no others are left out; flows that are open stay. Targets of
    // one that is taken back count as warming up, as they rested.
    void setDrained(TimePoint now, std::span<const DataCentreId> drained);

    // From now on what is not known does not exist. Before, an opening packet without a route or a target, and
    // any other packet with an unknown token, is to be held.
    void setInformed();

    // Decides on one packet.
    SteeringDecision steer(TimePoint now, const FlowPacket &packet);

    void tick(TimePoint now);

    // Open flows to reset now: their targets were taken for gone, and their callers are better told before the next
    // request than by its deadline. Call it at each tick.
    std::vector<FlowReset> takeResets();

    // Targets that repeated data of open flows got no answer from, to be reported, once for each repetition.
    std::vector<TargetKey> takeUnanswered();

    std::size_t flowCount() const;
    std::uint64_t count(SteeringReason reason) const;
    std::uint64_t suspicions() const;

    // From an opening packet to the caller's next one, and from a request's data to a sign of its answer.
    const LatencyHistogram &openTimes() const;
    const LatencyHistogram &answerTimes() const;

    // Removed routes that are still remembered, to reset their flows.
    std::size_t droppedRoutes() const;

private:
    using Flow = detail::SteeredFlow;

    SteeringDecision open(TimePoint now, const FlowPacket &packet);
    SteeringDecision follow(TimePoint now, const FlowPacket &packet);
    SteeringDecision forward(SteeringReason reason, const SteeredTarget &target);
    SteeringDecision reset(SteeringReason reason, const FlowPacket &packet);
    SteeringDecision drop(SteeringReason reason);
    SteeringDecision hold(SteeringReason reason);
    SteeredTarget *choose(const SelectionContext &context, const Route &route, FlowToken avoid);
    SteeredTarget *chooseOf(const SelectionContext &context, std::uint16_t service, FlowToken avoid);
    static std::uint16_t serviceOf(const Route &route, std::uint64_t flowHash);
    bool acceptsNewFlows(const SteeredTarget &target) const;
    void observe(TimePoint now, const FlowPacket &packet, Flow &flow);
    Flow *findOrAdd(TimePoint now, const FlowKey &key);
    void assign(Flow &flow, SteeredTarget &target);
    void release(Flow &flow);
    void setBusy(Flow &flow, bool busy);
    void suspect(TimePoint now, SteeredTarget &target);

    DataCentreId m_dataCentre;
    bool m_informed = false;
    SteeringRoutes m_routes;
    SteeringTargets m_targets;
    boost::unordered_flat_map<FlowKey, Flow, detail::FlowKeyHash> m_flows;
    TimePoint m_sweepDue;
    std::vector<SteeredTarget *> m_candidates; // Kept between packets, so that no choice allocates.
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

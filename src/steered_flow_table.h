// SPDX-License-Identifier: MIT
// Steered flow table: the flows that a steering balancer has seen lately, and the load that they add to their targets.
#pragma once

#include "steered_flow.h"
#include "steering_targets.h"

#include <vector>

namespace Robinrail {

// A request without a sign of an answer is no longer counted as load after this. The longest deadline of an interactive
// request is 3 s.
inline constexpr Duration MaxBusyTime = std::chrono::seconds(4);

// Capacity of the flow table, 16 MiB at 64 bytes per flow; further flows are steered by token alone.
inline constexpr std::size_t MaxSteeredFlows = 200'000;

// A reset that this balancer sends without a packet from the caller.
struct FlowReset {
    FlowKey flow;
    TargetKey target{};
    std::uint32_t sequence = 0; // Last number that the caller acknowledged, which a reset must carry.
};

// Most resets per call of takeResets(); the rest follow with the next call.
inline constexpr std::size_t MaxResetsPerTick = 512;

class SteeredFlowTable
{
public:
    // `targets` must outlive the table; it counts the flows of each target there.
    explicit SteeredFlowTable(SteeringTargets &targets);

    // The flow, which is added if it is new; null if the table is full.
    detail::SteeredFlow *findOrAdd(TimePoint now, const FlowKey &key);
    void remove(const FlowKey &key);

    // Counts a flow at a target, and no longer at its former one.
    void assign(detail::SteeredFlow &flow, SteeredTarget &target);

    // Counts a flow at no target.
    void release(detail::SteeredFlow &flow);

    // Counts whether a request of the flow is in progress at its target.
    void setBusy(detail::SteeredFlow &flow, bool busy);

    // Open flows whose targets were marked as gone; they are removed.
    std::vector<FlowReset> takeResets();

    // Removes flows that were idle for this long, and requests that have been in progress for MaxBusyTime.
    void sweep(TimePoint now, Duration idle);

    const SteeredFlows &all() const;

private:
    SteeringTargets &m_targets;
    SteeredFlows m_flows;
};

} // namespace Robinrail

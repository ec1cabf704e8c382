// SPDX-License-Identifier: MIT
// Steering metrics: the metrics of a steering balancer in the Prometheus text format, and its excluded targets.
#pragma once

#include "flow_steering.h"
#include "settings.h"

#include <string>

namespace Robinrail {

// What a steering node knows and counts besides its flow steering.
struct SteeringNodeCounters {
    bool ready = false;
    std::uint64_t drainRevision = 0;
    std::size_t replicaLinks = 0;
    std::uint64_t flowsReset = 0;
    std::uint64_t malformed = 0;
    std::uint64_t heldTooLong = 0;
    std::uint64_t droppedLogLines = 0;
};

// Most pairs of service and priority whose new flows are counted separately; see MaxTargetGroups.
inline constexpr std::size_t MaxFlowSeries = 128;

void writeSteeringMetrics(
    PrometheusWriter &text, TimePoint now, const SteeringSettings &settings, const SteeringNodeCounters &counters, const FlowSteering &steering);

// The targets that get no new flows, as JSON; docs/API.md has the format.
std::string excludedTargetsJson(TimePoint now, const SteeringSettings &settings, const FlowSteering &steering);

} // namespace Robinrail

// SPDX-License-Identifier: MIT
// Steering metrics: the metrics of a steering balancer in the Prometheus text format.
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
    std::uint64_t sendFailures = 0;
    std::uint64_t droppedLogLines = 0;
};

void writeSteeringMetrics(PrometheusWriter &text, const SteeringNodeCounters &counters, const FlowSteering &steering);

} // namespace Robinrail

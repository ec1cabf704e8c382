// SPDX-License-Identifier: MIT
// Steering metrics: implementation.
#include "steering_metrics.h"

namespace Robinrail {

namespace {

void writeAdmissionMetrics(PrometheusWriter &text, const FlowAdmission &flowAdmission)
{
    const AdmissionControl &admission = flowAdmission.control();
    text.gauge("robinrail_link_used", "Share of the own link in use", admission.link().used());
    for (const auto &[key, pool] : admission.pools()) {
        const std::string label = "service=\"" + flowAdmission.serviceName(key.service) + "\",data_centre=\"" + std::to_string(value(key.dataCentre)) + "\"";
        text.gauge("robinrail_pool_limit", "New flows per second that the pool is given; -1: unlimited", pool.limiter().limit().value_or(-1), label);
        text.gauge("robinrail_pool_arrivals", "New flows per second that asked for the pool", pool.limiter().arrivalRate(), label);
        text.gauge("robinrail_pool_answer_seconds", "Mean answer time of the pool", std::chrono::duration<double>(pool.meanAnswerTime()).count(), label);
        text.gauge("robinrail_pool_rejected", "Share of answers that were rejections by full targets", pool.rejectedShare(), label);
    }
}

} // namespace

void writeSteeringMetrics(PrometheusWriter &text, const SteeringNodeCounters &counters, const FlowSteering &steering)
{
    text.gauge("robinrail_steering_ready", "1 if the fabric may send packets here", counters.ready ? 1 : 0);
    text.gauge("robinrail_routing_version", "Version of the routing table in force", static_cast<double>(steering.version()));
    text.gauge("robinrail_drain_revision", "Revision of the drained data centres in force", static_cast<double>(counters.drainRevision));
    text.gauge("robinrail_targets_known", "Targets known", static_cast<double>(steering.targets().size()));
    text.gauge("robinrail_flows", "Flows in the table", static_cast<double>(steering.flowCount()));
    text.gauge("robinrail_replica_links", "Links to replicas", static_cast<double>(counters.replicaLinks));
    for (std::size_t i = 0; i < SteeringReasonCount; ++i) {
        const auto reason = static_cast<SteeringReason>(i);
        const std::string label = "reason=\"" + std::string(nameOf(reason)) + "\"";
        text.counter("robinrail_packets_total", "Packets by what decided them", static_cast<double>(steering.count(reason)), label);
    }
    text.histogram("robinrail_flow_open_seconds", "From an opening packet to the caller's next one", steering.openTimes());
    text.histogram("robinrail_answer_seconds", "From a request's data to a sign of its answer", steering.answerTimes());
    text.gauge("robinrail_dropped_routes", "Removed routes whose flows may still be there", static_cast<double>(steering.droppedRoutes()));
    text.counter("robinrail_suspicions_total", "Times that a target was suspected", static_cast<double>(steering.suspicions()));
    text.counter("robinrail_flows_reset_total", "Flows that were reset as their targets were gone", static_cast<double>(counters.flowsReset));
    text.counter("robinrail_malformed_packets_total", "Packets without a readable head", static_cast<double>(counters.malformed));
    text.counter("robinrail_held_too_long_total", "Packets that were held for too long, or were too many", static_cast<double>(counters.heldTooLong));
    text.counter("robinrail_send_failures_total", "Packets that the kernel refused", static_cast<double>(counters.sendFailures));
    text.counter("robinrail_log_lines_dropped_total", "Log lines that standard output could not take", static_cast<double>(counters.droppedLogLines));
    writeAdmissionMetrics(text, steering.admission());
}

} // namespace Robinrail

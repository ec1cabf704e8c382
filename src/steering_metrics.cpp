// SPDX-License-Identifier: MIT
// Steering metrics: implementation.
#include "steering_metrics.h"

#include "prometheus_text.h"
#include "steered_target_states.h"

#include <nlohmann/json.hpp>

namespace Robinrail {

using Json = nlohmann::json;

namespace {

std::string poolLabels(std::string_view service, DataCentreId dataCentre)
{
    return prometheusLabel("service", service) + ',' + prometheusLabel("data_centre", std::to_string(value(dataCentre)));
}

std::string dataCentreName(const SteeringSettings &settings, DataCentreId dataCentre)
{
    const std::size_t index = value(dataCentre);
    return index > 0 && index <= settings.dataCentres.size() ? settings.dataCentres[index - 1] : std::to_string(index);
}

void writeInfo(PrometheusWriter &text, const SteeringSettings &settings)
{
    text.gauge("robinrail_node_info",
               "Name and data centre of this node",
               1,
               prometheusLabel("node", settings.node) + ',' + prometheusLabel("data_centre", settings.dataCentre));
    for (std::size_t i = 0; i < settings.dataCentres.size(); ++i) {
        text.gauge("robinrail_data_centre_info",
                   "Names of the data centres whose numbers are in other labels",
                   1,
                   prometheusLabel("data_centre", std::to_string(i + 1)) + ',' + prometheusLabel("name", settings.dataCentres[i]));
    }
}

void writePoolMetrics(PrometheusWriter &text, const FlowAdmission &admission)
{
    const auto gauges = [&](const char *name, const char *help, auto measure) {
        for (const auto &[key, pool] : admission.control().pools()) {
            text.gauge(name, help, measure(pool), poolLabels(admission.serviceName(key.service), key.dataCentre));
        }
    };
    gauges("robinrail_pool_limit", "New flows per second that the pool is given; -1: unlimited", [](const PoolAdmission &pool) {
        return pool.limiter().limit().value_or(-1);
    });
    gauges("robinrail_pool_arrivals", "New flows per second that asked for the pool", [](const PoolAdmission &pool) {
        return pool.limiter().arrivalRate();
    });
    gauges("robinrail_pool_answer_seconds", "Mean answer time of the pool", [](const PoolAdmission &pool) {
        return std::chrono::duration<double>(pool.meanAnswerTime()).count();
    });
    gauges("robinrail_pool_rejected", "Share of answers that were rejections by full targets", [](const PoolAdmission &pool) {
        return pool.rejectedShare();
    });
}

void writeAdmissionMetrics(PrometheusWriter &text, const FlowAdmission &admission)
{
    const LinkLoad &link = admission.control().link();
    text.gauge("robinrail_link_used", "Share of the own link in use", link.used());
    text.gauge("robinrail_link_limit", "New flows per second that the own link is given; -1: unlimited", link.limiter().limit().value_or(-1));
    text.gauge("robinrail_link_arrivals", "New flows per second that asked for the own link", link.limiter().arrivalRate());
    writePoolMetrics(text, admission);
    std::size_t series = 0;
    std::uint64_t uncounted = 0;
    for (const auto &[key, counts] : admission.counts()) {
        if (++series > MaxFlowSeries) {
            uncounted += counts.admitted + counts.refusedByPools + counts.refusedByLink;
            continue;
        }
        const std::string labels = prometheusLabel("service", admission.serviceName(key.first)) + ',' + prometheusLabel("priority", std::to_string(key.second));
        const auto write = [&](std::string_view outcome, std::uint64_t flows) {
            text.counter("robinrail_new_flows_total",
                         "New flows that asked for admission, by what became of them",
                         static_cast<double>(flows),
                         labels + ',' + prometheusLabel("outcome", outcome));
        };
        write("admitted", counts.admitted);
        write("refused-by-pools", counts.refusedByPools);
        write("refused-by-link", counts.refusedByLink);
    }
    text.counter("robinrail_new_flows_uncounted_total", "New flows of further services and priorities", static_cast<double>(uncounted));
}

void writeTargetMetrics(PrometheusWriter &text, TimePoint now, const FlowSteering &steering)
{
    const TargetGroups counted = countTargets(now, steering.targets(), steering.routes());
    const auto byState = [&](const char *name, const char *help, const std::array<std::uint64_t, SteeredTargetStateCount> TargetGroup::*counts) {
        for (const auto &[key, group] : counted.groups) {
            for (std::size_t i = 0; i < SteeredTargetStateCount; ++i) {
                text.gauge(name,
                           help,
                           static_cast<double>((group.*counts)[i]),
                           poolLabels(key.first, key.second) + ',' + prometheusLabel("state", nameOf(static_cast<SteeredTargetState>(i))));
            }
        }
    };
    const auto byGroup = [&](const char *name, const char *help, const std::uint64_t TargetGroup::*count) {
        for (const auto &[key, group] : counted.groups) {
            text.gauge(name, help, static_cast<double>(group.*count), poolLabels(key.first, key.second));
        }
    };
    byState("robinrail_targets", "Targets by state", &TargetGroup::targets);
    byState("robinrail_target_slots", "Slots of the targets by state", &TargetGroup::slots);
    byGroup("robinrail_target_flows", "Flows to the targets through this balancer", &TargetGroup::flows);
    byGroup("robinrail_target_requests", "Requests in progress at the targets, of flows through this balancer", &TargetGroup::busy);
    text.gauge("robinrail_targets_uncounted", "Targets of further services and data centres", static_cast<double>(counted.uncounted));
}

} // namespace

void writeSteeringMetrics(
    PrometheusWriter &text, TimePoint now, const SteeringSettings &settings, const SteeringNodeCounters &counters, const FlowSteering &steering)
{
    writeInfo(text, settings);
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
    text.counter("robinrail_log_lines_dropped_total", "Log lines that standard output could not take", static_cast<double>(counters.droppedLogLines));
    writeTargetMetrics(text, now, steering);
    writeAdmissionMetrics(text, steering.admission());
}

std::string excludedTargetsJson(TimePoint now, const SteeringSettings &settings, const FlowSteering &steering)
{
    const ExcludedTargets excluded = findExcludedTargets(now, steering.targets(), steering.routes());
    Json targets = Json::array();
    for (const ExcludedTarget &target : excluded.listed) {
        targets.push_back({{"target", std::to_string(value(target.key))},
                           {"service", target.service},
                           {"dataCentre", dataCentreName(settings, target.dataCentre)},
                           {"address", toText(target.address)},
                           {"reason", nameOf(target.state)}});
    }
    // Records come from replicas, so a service's name is not known to be UTF-8.
    return Json({{"total", excluded.total}, {"targets", std::move(targets)}}).dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace Robinrail

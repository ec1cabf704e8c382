// SPDX-License-Identifier: MIT
// Load report: turns the metrics and the excluded targets of several steering balancers into one report on the load of each
// service in each data centre, without I/O.
#pragma once

#include "steered_target_states.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <span>

namespace Robinrail {

// New flows by what became of them; see AdmissionCounts.
struct FlowCounts {
    double admitted = 0;
    double refusedByPools = 0; // The targets that may be used can take no more.
    double refusedByLink = 0; // The balancer's own link is full.

    FlowCounts &operator+=(const FlowCounts &other);
};

// A service by its name, and a data centre by its name.
struct ServiceLocation {
    std::string service;
    std::string dataCentre;

    auto operator<=>(const ServiceLocation &) const = default;
};

// A target that a balancer excludes from new flows.
struct ExcludedTargetEntry {
    std::string target; // Its key as a decimal number, as in log lines.
    ServiceLocation location;
    std::string address;
    std::string reason;

    auto operator<=>(const ExcludedTargetEntry &) const = default;
};

// What one balancer reports.
struct BalancerLoad {
    struct Pool {
        std::array<double, SteeredTargetStateCount> targets{};
        std::array<double, SteeredTargetStateCount> slots{};
        double busy = 0;
        std::optional<double> limit; // New flows per second.
        double arrivals = 0;
    };
    using Priority = int;

    std::string node;
    std::string dataCentre;
    bool ready = false;
    double linkUsed = 0;
    std::optional<double> linkLimit;
    double linkArrivals = 0;
    std::map<ServiceLocation, Pool> pools;
    std::map<std::pair<std::string, Priority>, FlowCounts> flows; // By service, since the balancer's start.
    double uncountedTargets = 0;
    std::vector<ExcludedTargetEntry> excluded;
    double excludedTotal = 0;
};

// Reads a balancer's metrics. Empty, with the reason, if they are malformed or those of a release without these metrics.
std::optional<BalancerLoad> parseBalancerLoad(std::string_view metrics, std::string &reason);

// Adds a balancer's answer to /excluded-targets; false if it is malformed.
bool parseExcludedTargets(std::string_view json, BalancerLoad &load);

// Subtracts the flows counted in `earlier`, a former answer of the same balancer. A count that is lower than before belongs to a
// balancer that was restarted in between, so that all of its flows are new.
void subtractEarlierFlows(BalancerLoad &load, const BalancerLoad &earlier);

// A balancer without a usable answer.
struct FailedBalancer {
    std::string address;
    std::string reason;
};

// Balancers may see different numbers of targets, as each has its own suspicions and may lag.
struct CountRange {
    double min = 0;
    double max = 0;
};

struct LoadReport {
    // Targets and requests are those in the data centre; flows are those that arrived at its balancers, wherever their targets are.
    struct Row {
        std::array<CountRange, SteeredTargetStateCount> targets{};
        CountRange slots;
        CountRange usableSlots; // Of the targets that serve or warm up.
        double busy = 0;
        double limit = 0; // Of the balancers that have one.
        double arrivals = 0;
        std::size_t limitingBalancers = 0;
        std::map<BalancerLoad::Priority, FlowCounts> flows;
    };
    struct LimitedLink {
        std::string node;
        std::string dataCentre;
        double used = 0;
        double limit = 0;
        double arrivals = 0;
    };

    std::size_t answered = 0;
    std::vector<std::string> notReady; // Their views of the targets are left out, as they may be incomplete.
    std::vector<FailedBalancer> failed;
    double flowSeconds = 0; // Time in which the flows were counted; 0: since the balancers' starts.
    std::map<ServiceLocation, Row> rows;
    std::vector<LimitedLink> limitedLinks;
    std::map<ExcludedTargetEntry, std::size_t> excluded; // With the number of balancers that exclude them for this reason.
    double excludedNotListed = 0; // Largest number of excluded targets that a balancer did not list.
    double uncountedTargets = 0; // Largest number of targets that a balancer did not count by service and data centre.
};

LoadReport makeLoadReport(std::span<const BalancerLoad> balancers, std::vector<FailedBalancer> failed, double flowSeconds);

nlohmann::json loadReportJson(const LoadReport &report);

// One line of key=value pairs per service and data centre, then one per limited link, excluded target, and balancer that is not ready
// or failed.
std::string loadReportText(const LoadReport &report);

} // namespace Robinrail

// SPDX-License-Identifier: MIT
// Steered target states: counts a balancer's targets by service, data centre and state, and lists those that get no new flows.
#pragma once

#include "steering_routes.h"
#include "steering_targets.h"

#include <array>
#include <map>
#include <string>
#include <vector>

namespace Robinrail {

// The most severe condition of a target, least severe first. Each target counts in one state.
enum class SteeredTargetState : std::uint8_t {
    Serving,
    WarmingUp, // Gets new flows unless its service limits the rate during the warm-up.
    Suspect, // Did not answer this balancer lately. Gets no new flows unless more than half of its group are suspect.
    Draining,
    DataCentreDrained,
    TokenCollision, // See SteeredTarget::tokenCollision.
    Silent, // The replica that the balancer follows has no announcements.
    Superseded, // Silent, and another target is at its address.
    Gone, // Replicas could not connect to it.
};

inline constexpr std::size_t SteeredTargetStateCount = 9;

std::string_view nameOf(SteeredTargetState state);

// Targets of one service in one data centre, without those that left.
struct TargetGroup {
    std::array<std::uint64_t, SteeredTargetStateCount> targets{};
    std::array<std::uint64_t, SteeredTargetStateCount> slots{};
    std::uint64_t flows = 0; // Through this balancer.
    std::uint64_t busy = 0; // Those of them with a request in progress.
};

// Most groups that are counted separately, so that a scrape stays below 200 KB, 0.8 s of a link of 2 Mbit/s: a group has 18 lines of
// some 85 bytes. The usual deployments have 2 to 10 services in 3 or 4 data centres.
inline constexpr std::size_t MaxTargetGroups = 128;

struct TargetGroups {
    std::map<std::pair<std::string_view, DataCentreId>, TargetGroup> groups; // The names refer to the targets' records.
    std::uint64_t uncounted = 0; // Targets of further groups.
};

TargetGroups countTargets(TimePoint now, const SteeringTargets &targets, const SteeringRoutes &routes);

// Most targets of a list of excluded ones: enough to recognize a rack or a release, 2 KB.
inline constexpr std::size_t MaxExcludedTargets = 16;

// A target that gets no new flows, and why.
struct ExcludedTarget {
    TargetKey key{};
    std::string service;
    DataCentreId dataCentre{};
    Endpoint address;
    SteeredTargetState state{};
};

struct ExcludedTargets {
    std::vector<ExcludedTarget> listed; // The most severe states first, then by key, so that all balancers list the same ones.
    std::uint64_t total = 0;
};

ExcludedTargets findExcludedTargets(TimePoint now, const SteeringTargets &targets, const SteeringRoutes &routes);

} // namespace Robinrail

// SPDX-License-Identifier: MIT
// Steered target states: implementation.
#include "steered_target_states.h"

#include <algorithm>
#include <set>

namespace Robinrail {

namespace {

constexpr std::array<std::string_view, SteeredTargetStateCount> StateNames = {
    "serving", "warming-up", "suspect", "draining", "data-centre-drained", "token-collision", "silent", "superseded", "gone"};

SteeredTargetState stateOf(TimePoint now, const SteeringTargets &targets, const SteeringRoutes &routes, const SteeredTarget &target)
{
    if (target.isGone(now)) {
        return SteeredTargetState::Gone;
    }
    if (target.record.phase == TargetPhase::Superseded) {
        return SteeredTargetState::Superseded;
    }
    if (!targets.reportedAlive(target)) {
        return SteeredTargetState::Silent;
    }
    if (target.tokenCollision) {
        return SteeredTargetState::TokenCollision;
    }
    if (routes.isDrained(target.record.dataCentre)) {
        return SteeredTargetState::DataCentreDrained;
    }
    if (target.record.phase != TargetPhase::Serving) {
        return SteeredTargetState::Draining;
    }
    if (target.isSuspect(now)) {
        return SteeredTargetState::Suspect;
    }
    return now < target.warmupEnd ? SteeredTargetState::WarmingUp : SteeredTargetState::Serving;
}

// The services whose targets get no new flows while they warm up.
std::set<std::string_view> servicesWithLimitedWarmup(const RoutingTable &table)
{
    std::set<std::string_view> names;
    for (std::size_t i = 0; i < std::min(table.services.size(), table.warmups.size()); ++i) {
        if (table.warmups[i].limited) {
            names.insert(table.services[i]);
        }
    }
    return names;
}

} // namespace

std::string_view nameOf(SteeredTargetState state)
{
    return StateNames[static_cast<std::size_t>(state)];
}

TargetGroups countTargets(TimePoint now, const SteeringTargets &targets, const SteeringRoutes &routes)
{
    TargetGroups counted;
    targets.forEach([&](const SteeredTarget &target) {
        if (target.record.phase == TargetPhase::Left) {
            return;
        }
        const std::pair<std::string_view, DataCentreId> key(target.record.service, target.record.dataCentre);
        auto at = counted.groups.find(key);
        if (at == counted.groups.end()) {
            if (counted.groups.size() >= MaxTargetGroups) {
                ++counted.uncounted;
                return;
            }
            at = counted.groups.try_emplace(key).first;
        }
        const auto state = static_cast<std::size_t>(stateOf(now, targets, routes, target));
        ++at->second.targets[state];
        at->second.slots[state] += target.record.slots;
        at->second.flows += target.flows;
        at->second.busy += target.busy;
    });
    return counted;
}

ExcludedTargets findExcludedTargets(TimePoint now, const SteeringTargets &targets, const SteeringRoutes &routes)
{
    const std::set<std::string_view> limitedServices = servicesWithLimitedWarmup(routes.table());
    std::vector<std::pair<SteeredTargetState, const SteeredTarget *>> found;
    targets.forEach([&](const SteeredTarget &target) {
        if (target.record.phase == TargetPhase::Left) {
            return;
        }
        const SteeredTargetState state = stateOf(now, targets, routes, target);
        const bool cold = state == SteeredTargetState::WarmingUp && limitedServices.contains(target.record.service);
        if (state > SteeredTargetState::WarmingUp || cold) {
            found.emplace_back(state, &target);
        }
    });
    ExcludedTargets excluded;
    excluded.total = found.size();
    const auto listed = found.begin() + static_cast<std::ptrdiff_t>(std::min(found.size(), MaxExcludedTargets));
    std::partial_sort(found.begin(), listed, found.end(), [](const auto &one, const auto &other) {
        return one.first != other.first ? one.first > other.first : one.second->record.key < other.second->record.key;
    });
    for (auto at = found.begin(); at != listed; ++at) {
        const TargetRecord &record = at->second->record;
        excluded.listed.push_back({record.key, record.service, record.dataCentre, record.address, at->first});
    }
    return excluded;
}

} // namespace Robinrail

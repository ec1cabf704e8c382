// SPDX-License-Identifier: MIT
// Target choice: rendezvous hashing with bounded load for feeds, least utilized target for attempts.
#include "target_choice.h"

#include "hash.h"

#include <algorithm>
#include <cmath>

namespace Robinrail {

namespace {

// A target with this multiple of its fair share of feeds is skipped.
constexpr double LoadBound = 1.25;

bool serves(const Target &target, ServiceId service)
{
    return target.state == TargetState::Serving && target.announcement.service == service;
}

bool hasFreeSlot(const Target &target, ServiceId service, TimePoint now)
{
    return serves(target, service) && target.running < target.assignedSlots && acceptsAttempt(target, now);
}

// Utilization as a fraction of all slots of the target, so that targets fill evenly even if slots are assigned unevenly.
double utilization(const Target &target)
{
    return static_cast<double>(target.running) / target.announcement.slots;
}

} // namespace

Target *chooseFeedTarget(std::span<Target> targets, ServiceId service, FlowId flow, std::size_t memberCount, std::optional<TargetId> avoid, TimePoint now)
{
    double totalWeight = 0;
    double totalFeeds = 1;
    for (const Target &target : targets) {
        if (serves(target, service)) {
            totalWeight += usableSlots(target, now);
            totalFeeds += target.feeds;
        }
    }
    Target *best = nullptr;
    std::pair<bool, double> bestRank;
    for (Target &target : targets) {
        if (!serves(target, service)) {
            continue;
        }
        const double weight = usableSlots(target, now);
        const double bound = std::ceil(LoadBound * totalFeeds * weight / totalWeight);
        const std::size_t connectionShare = target.announcement.connections / std::max<std::size_t>(1, memberCount);
        const bool responsive = target.id() != avoid && target.unansweredAttempts < UnansweredAttemptLimit;
        const std::pair rank(responsive, rendezvousScore(value(flow), value(target.id()), weight));
        if (target.feeds < bound && target.feeds < connectionShare && (best == nullptr || rank > bestRank)) {
            best = &target;
            bestRank = rank;
        }
    }
    return best;
}

Target *chooseAttemptTarget(std::span<Target> targets, ServiceId service, std::span<const TargetId> avoid, TimePoint now)
{
    Target *best = nullptr;
    for (Target &target : targets) {
        const bool avoided = std::find(avoid.begin(), avoid.end(), target.id()) != avoid.end();
        if (avoided || !hasFreeSlot(target, service, now)) {
            continue;
        }
        if (best == nullptr || std::pair(utilization(target), target.lastAttempt) < std::pair(utilization(*best), best->lastAttempt)) {
            best = &target;
        }
    }
    return best;
}

std::uint32_t countFreeSlots(std::span<const Target> targets, ServiceId service, TimePoint now)
{
    std::uint32_t free = 0;
    for (const Target &target : targets) {
        if (hasFreeSlot(target, service, now)) {
            free += target.assignedSlots - target.running;
        }
    }
    return free;
}

std::uint32_t countAssignedSlots(std::span<const Target> targets, ServiceId service)
{
    std::uint32_t share = 0;
    for (const Target &target : targets) {
        share += serves(target, service) ? target.assignedSlots : 0U;
    }
    return share;
}

std::uint32_t countUsableSlots(std::span<const Target> targets, ServiceId service, TimePoint now)
{
    std::uint32_t slots = 0;
    for (const Target &target : targets) {
        slots += serves(target, service) ? usableSlots(target, now) : 0U;
    }
    return slots;
}

bool anyServing(std::span<const Target> targets, ServiceId service)
{
    return std::any_of(targets.begin(), targets.end(), [service](const Target &target) {
        return serves(target, service);
    });
}

} // namespace Robinrail

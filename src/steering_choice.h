// SPDX-License-Identifier: MIT
// Steering choice: which target a new flow goes to, as policies that tests and benchmarks compare.
#pragma once

#include "hash.h"
#include "steering_targets.h"

#include <concepts>

namespace Robinrail {

// What a choice may look at.
struct ChoiceContext {
    TimePoint now;
    std::uint64_t flowHash = 0; // The same at every balancer.
    DataCentreId dataCentre{}; // Of this balancer.
};

// Picks one of the candidates; there is at least one.
template<typename C>
concept SteeringChoice = requires(std::span<SteeredTarget *const> candidates, const ChoiceContext &context)
{
    {
        C::pick(candidates, context)
        } -> std::same_as<SteeredTarget *>;
};

// Baseline: the flow's hash alone, whatever the load.
struct HashChoice {
    static SteeredTarget *pick(std::span<SteeredTarget *const> candidates, const ChoiceContext &context)
    {
        return *std::max_element(candidates.begin(), candidates.end(), [&context](const SteeredTarget *one, const SteeredTarget *other) {
            return score(*one, context) < score(*other, context);
        });
    }

    static double score(const SteeredTarget &target, const ChoiceContext &context)
    {
        return rendezvousScore(context.flowHash, value(target.record.key), 1);
    }
};

// Part of a slot that an open flow uses over time: about one request of 40 ms a second.
inline constexpr double SlotsPerOpenFlow = 0.05;

// Load, in parts of a target's slots as this balancer sees it, that a target in another data centre must be
// better by: all slots of the best target here are taken by this balancer's own requests. Bytes between data
// centres cost, and a flow within one survives its being cut off.
inline constexpr double OtherDataCentrePenalty = 1;

// A target that is warming up takes about this many times as long.
inline constexpr double WarmupFactor = 1.6;

// The least used target by the balancer's own counts; among equals the flow's hash decides, so that a copy
// of an opening packet goes to the same target from every balancer that sees the same load.
struct LeastUsedChoice {
    static double load(const SteeredTarget &target, const ChoiceContext &context)
    {
        const double used = target.busy + SlotsPerOpenFlow * target.flows + SlotsPerOpenFlow;
        const double slow = context.now < target.warmAt ? WarmupFactor : 1;
        const double away = target.record.dataCentre != context.dataCentre ? OtherDataCentrePenalty : 0;
        return used * slow / std::max(target.record.slots, 1U) + away;
    }

    static SteeredTarget *pick(std::span<SteeredTarget *const> candidates, const ChoiceContext &context)
    {
        SteeredTarget *best = candidates.front();
        double bestLoad = load(*best, context);
        for (SteeredTarget *target : candidates.subspan(1)) {
            const double targetLoad = load(*target, context);
            const bool tied = targetLoad == bestLoad && HashChoice::score(*target, context) > HashChoice::score(*best, context);
            if (targetLoad < bestLoad || tied) {
                best = target;
                bestLoad = targetLoad;
            }
        }
        return best;
    }
};

static_assert(SteeringChoice<HashChoice> && SteeringChoice<LeastUsedChoice>);

} // namespace Robinrail

// SPDX-License-Identifier: MIT
// Steering choice: which target a new flow goes to, as policies that tests and benchmarks compare.
#pragma once

#include "hash.h"
#include "steering_targets.h"

#include <concepts>
#include <utility>

namespace Robinrail {

// What a choice may look at.
struct SelectionContext {
    TimePoint now;
    std::uint64_t flowHash = 0; // The same at every balancer.
    DataCentreId dataCentre{}; // Of this balancer.
};

// Picks one of the candidates; there is at least one.
template<typename C>
concept TargetSelectionPolicy = requires(std::span<SteeredTarget *const> candidates, const SelectionContext &context)
{
    {
        C::pick(candidates, context)
        } -> std::same_as<SteeredTarget *>;
};

// Baseline: the flow's hash alone, whatever the load.
struct HashSelection {
    static SteeredTarget *pick(std::span<SteeredTarget *const> candidates, const SelectionContext &context)
    {
        return *std::max_element(candidates.begin(), candidates.end(), [&context](const SteeredTarget *one, const SteeredTarget *other) {
            return score(*one, context) < score(*other, context);
        });
    }

    static double score(const SteeredTarget &target, const SelectionContext &context)
    {
        return rendezvousScore(context.flowHash, value(target.record.key), 1);
    }
};

// Part of a slot that an open flow uses over time: about one request of 40 ms a second.
inline constexpr double SlotsPerOpenFlow = 0.05;

// Load, in parts of a target's slots as this balancer sees it, that a target in another data centre must be
// better by: all slots of the best target here are taken by this balancer's own requests. Bytes between data
// centres cost, and a flow within one survives its being cut off.
inline constexpr double RemoteDataCentrePenalty = 1;

// A target that is warming up takes about this many times as long.
inline constexpr double WarmupFactor = 1.6;

// The least used target by the balancer's own counts; among equals the flow's hash decides, so that a copy
// of an opening packet goes to the same target from every balancer that sees the same load.
struct LeastLoadedSelection {
    static double load(const SteeredTarget &target, const SelectionContext &context)
    {
        const double used = target.busy + SlotsPerOpenFlow * target.flows + SlotsPerOpenFlow;
        const double slow = context.now < target.warmupEnd ? WarmupFactor : 1;
        const double away = target.record.dataCentre != context.dataCentre ? RemoteDataCentrePenalty : 0;
        return used * slow / std::max(target.record.slots, 1U) + away;
    }

    static SteeredTarget *pick(std::span<SteeredTarget *const> candidates, const SelectionContext &context)
    {
        SteeredTarget *best = candidates.front();
        double bestLoad = load(*best, context);
        for (SteeredTarget *target : candidates.subspan(1)) {
            const double targetLoad = load(*target, context);
            const bool tied = targetLoad == bestLoad && HashSelection::score(*target, context) > HashSelection::score(*best, context);
            if (targetLoad < bestLoad || tied) {
                best = target;
                bestLoad = targetLoad;
            }
        }
        return best;
    }
};

// Power of two choices (Mitzenmacher 2001): of two targets that the flow's hash names in each of the own data centre and
// the rest, the one that is used least by the balancer's own counts.
//
// The pattern that it answers: each of many balancers sees a small part of a target's load, so that a target that has just
// started has the lowest counts at all of them. The least used of all gets the next flow of every balancer, 7 to 12 from each
// of 11 among 89 within half a second, while it is still slow. The hash bounds what a target can draw to twice its share,
// whatever the counts say, and the counts still tell a busy target from an idle one where a balancer sees much of the load.
struct PowerOfTwoSelection {
    static SteeredTarget *pick(std::span<SteeredTarget *const> candidates, const SelectionContext &context)
    {
        Pair here;
        Pair elsewhere;
        for (SteeredTarget *target : candidates) {
            const std::uint64_t lot = hashPair(context.flowHash, value(target->record.key));
            (target->record.dataCentre == context.dataCentre ? here : elsewhere).offer(target, lot);
        }
        SteeredTarget *best = nullptr;
        for (SteeredTarget *target : {here.first, here.second, elsewhere.first, elsewhere.second}) {
            const bool better = target != nullptr
                && (best == nullptr || LeastLoadedSelection::load(*target, context) < LeastLoadedSelection::load(*best, context));
            best = better ? target : best;
        }
        return best;
    }

private:
    // The two targets with the highest lots; null as long as there are fewer.
    struct Pair {
        SteeredTarget *first = nullptr;
        SteeredTarget *second = nullptr;
        std::uint64_t firstLot = 0;
        std::uint64_t secondLot = 0;

        void offer(SteeredTarget *target, std::uint64_t lot)
        {
            if (first == nullptr || lot > firstLot) {
                second = std::exchange(first, target);
                secondLot = std::exchange(firstLot, lot);
            } else if (second == nullptr || lot > secondLot) {
                second = target;
                secondLot = lot;
            }
        }
    };
};

static_assert(TargetSelectionPolicy<HashSelection> && TargetSelectionPolicy<LeastLoadedSelection> && TargetSelectionPolicy<PowerOfTwoSelection>);

} // namespace Robinrail

// SPDX-License-Identifier: MIT
// Target selection: policies that pick the target of a new flow. Tests and benchmarks compare them.
#pragma once

#include "hash.h"
#include "steering_targets.h"

#include <concepts>
#include <utility>

namespace Robinrail {

// Input of a policy besides the candidates.
struct SelectionContext {
    TimePoint now;
    std::uint64_t flowHash = 0; // The same at every balancer.
    DataCentreId dataCentre{}; // Of this balancer.
    std::optional<DataCentreId> only{}; // If set, only targets of this data centre are candidates.
};

// Picks one of the candidates, of which there is at least one.
template<typename C>
concept TargetSelectionPolicy = requires(std::span<SteeredTarget *const> candidates, const SelectionContext &context)
{
    {
        C::pick(candidates, context)
        } -> std::same_as<SteeredTarget *>;
};

// Baseline: rendezvous hashing of the flow, regardless of load.
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

// Average share of a slot that an open flow uses: about one request of 40 ms per second.
inline constexpr double SlotsPerOpenFlow = 0.05;

// Added to the load of a target in another data centre, as a fraction of its slots. At 1 a remote target is chosen only if
// this balancer's own requests occupy all slots of the best local one: traffic between data centres is costly, and a flow
// within one data centre survives its isolation.
inline constexpr double RemoteDataCentrePenalty = 1;

// Service time of a target that is warming up, relative to a warm one.
inline constexpr double WarmupFactor = 1.6;

// The least loaded target by the balancer's own counts. Ties are broken by the flow's hash, so that a copy of an opening
// packet goes to the same target from every balancer that sees the same load.
struct LeastLoadedSelection {
    static double load(const SteeredTarget &target, const SelectionContext &context)
    {
        const double used = target.busy + SlotsPerOpenFlow * target.flows + SlotsPerOpenFlow;
        const double warmupFactor = context.now < target.warmupEnd ? WarmupFactor : 1;
        const double penalty = target.record.dataCentre != context.dataCentre ? RemoteDataCentrePenalty : 0;
        return used * warmupFactor / std::max(target.record.slots, 1U) + penalty;
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

// Power of two choices (Mitzenmacher 2001): the flow's hash names two targets in the own data centre and two elsewhere; of
// these, the least loaded one by the balancer's own counts is picked.
//
// Each of many balancers sees only a small part of a target's load, so a target that has just started has the lowest counts
// at all of them. Picking the least loaded of all targets sends it the next flows of every balancer, while it is still slow:
// 7 to 12 flows from each of 11 balancers, with 89 targets, within half a second. The hash limits a target to twice its share
// whatever the counts are, and the counts still tell busy from idle targets where a balancer sees much of the load.
struct PowerOfTwoSelection {
    static SteeredTarget *pick(std::span<SteeredTarget *const> candidates, const SelectionContext &context)
    {
        TopTwo local;
        TopTwo remote;
        for (SteeredTarget *target : candidates) {
            const std::uint64_t score = hashPair(context.flowHash, value(target->record.key));
            (target->record.dataCentre == context.dataCentre ? local : remote).offer(target, score);
        }
        SteeredTarget *best = nullptr;
        for (SteeredTarget *target : {local.first, local.second, remote.first, remote.second}) {
            const bool better = target != nullptr
                && (best == nullptr || LeastLoadedSelection::load(*target, context) < LeastLoadedSelection::load(*best, context));
            best = better ? target : best;
        }
        return best;
    }

private:
    // The two targets with the highest scores; null while fewer were offered.
    struct TopTwo {
        SteeredTarget *first = nullptr;
        SteeredTarget *second = nullptr;
        std::uint64_t firstScore = 0;
        std::uint64_t secondScore = 0;

        void offer(SteeredTarget *target, std::uint64_t score)
        {
            if (first == nullptr || score > firstScore) {
                second = std::exchange(first, target);
                secondScore = std::exchange(firstScore, score);
            } else if (second == nullptr || score > secondScore) {
                second = target;
                secondScore = score;
            }
        }
    };
};

static_assert(TargetSelectionPolicy<HashSelection> && TargetSelectionPolicy<LeastLoadedSelection> && TargetSelectionPolicy<PowerOfTwoSelection>);

} // namespace Robinrail

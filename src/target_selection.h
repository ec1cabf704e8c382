// SPDX-License-Identifier: MIT
// Target selection: policies that pick the target of a new flow. Tests and benchmarks compare them.
#pragma once

#include "hash.h"
#include "target_candidates.h"

#include <algorithm>
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

// Picks one of the choices, of which there is at least one.
template<typename C>
concept TargetSelectionPolicy = requires(const TargetChoices &choices, const SelectionContext &context)
{
    {
        C::pick(choices, context)
        } -> std::same_as<SteeredTarget *>;
};

// Baseline: rendezvous hashing of the flow, regardless of load.
struct HashSelection {
    static SteeredTarget *pick(const TargetChoices &choices, const SelectionContext &context)
    {
        SteeredTarget *best = nullptr;
        for (const std::span<SteeredTarget *const> candidates : {choices.local, choices.remote}) {
            for (SteeredTarget *target : candidates) {
                best = best == nullptr || score(*target, context) > score(*best, context) ? target : best;
            }
        }
        return best;
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

    static SteeredTarget *pick(const TargetChoices &choices, const SelectionContext &context)
    {
        SteeredTarget *best = nullptr;
        double bestLoad = 0;
        for (const std::span<SteeredTarget *const> candidates : {choices.local, choices.remote}) {
            for (SteeredTarget *target : candidates) {
                const double targetLoad = load(*target, context);
                const bool tied = targetLoad == bestLoad && HashSelection::score(*target, context) > HashSelection::score(*best, context);
                if (best == nullptr || targetLoad < bestLoad || tied) {
                    best = target;
                    bestLoad = targetLoad;
                }
            }
        }
        return best;
    }
};

// Up to this number of candidates, all are scored.
inline constexpr std::size_t MaxScoredTargets = 128;

// Size of the window that is scored in the own data centre, and of that elsewhere, if there are more candidates. A score costs
// 27 instructions, and an opening packet is to cost 2,500 at most with 1,000 targets; both windows are scored in a few flows.
inline constexpr std::size_t ScoredWindow = 16;

// Power of two choices (Mitzenmacher 2001): the flow's hash names two targets in the own data centre and two elsewhere; of
// these, the least loaded one by the balancer's own counts is picked.
//
// Each of many balancers sees only a small part of a target's load, so a target that has just started has the lowest counts
// at all of them. Picking the least loaded of all targets sends it the next flows of every balancer, while it is still slow:
// 7 to 12 flows from each of 11 balancers, with 89 targets, within half a second. The hash limits a target to twice its share
// whatever the counts are, and the counts still tell busy from idle targets where a balancer sees much of the load.
//
// Of a longer list, a window that begins at the hash's share of the list is scored. Each target is in the same number of
// windows, so all have equal shares. The list is sorted by token, so balancers whose views differ in one target have windows
// that differ in at most two, and select the same target for more than nine of ten flows.
struct PowerOfTwoSelection {
    static SteeredTarget *pick(const TargetChoices &choices, const SelectionContext &context)
    {
        SteeredTarget *best = lessLoaded(nullptr, topTwo(choices.local, windowSize(choices.local, choices.remote), context), context);
        // The load of a target in another data centre is the penalty or more.
        if (best != nullptr && LeastLoadedSelection::load(*best, context) <= RemoteDataCentrePenalty) {
            return best;
        }
        return lessLoaded(best, topTwo(choices.remote, windowSize(choices.remote, choices.local), context), context);
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
            if (score <= secondScore && second != nullptr) {
                return;
            }
            if (first == nullptr || score > firstScore) {
                second = std::exchange(first, target);
                secondScore = std::exchange(firstScore, score);
            } else {
                second = target;
                secondScore = score;
            }
        }
    };

    // How many of these candidates are scored, beside the others.
    static std::size_t windowSize(std::span<SteeredTarget *const> scored, std::span<SteeredTarget *const> others)
    {
        return scored.size() + others.size() <= MaxScoredTargets ? scored.size() : std::min(scored.size(), ScoredWindow);
    }

    static TopTwo topTwo(std::span<SteeredTarget *const> candidates, std::size_t size, const SelectionContext &context)
    {
        constexpr unsigned HalfBits = 32;
        TopTwo found;
        const auto offerAll = [&](std::span<SteeredTarget *const> part) {
            for (SteeredTarget *target : part) {
                found.offer(target, hashPair(context.flowHash, value(target->record.key)));
            }
        };
        const std::size_t start = size < candidates.size() ? ((context.flowHash >> HalfBits) * candidates.size()) >> HalfBits : 0;
        const std::size_t tail = std::min(size, candidates.size() - start);
        offerAll(candidates.subspan(start, tail));
        offerAll(candidates.first(size - tail));
        return found;
    }

    static SteeredTarget *lessLoaded(SteeredTarget *best, const TopTwo &others, const SelectionContext &context)
    {
        for (SteeredTarget *target : {others.first, others.second}) {
            const bool better = target != nullptr
                && (best == nullptr || LeastLoadedSelection::load(*target, context) < LeastLoadedSelection::load(*best, context));
            best = better ? target : best;
        }
        return best;
    }
};

static_assert(TargetSelectionPolicy<HashSelection> && TargetSelectionPolicy<LeastLoadedSelection> && TargetSelectionPolicy<PowerOfTwoSelection>);

} // namespace Robinrail

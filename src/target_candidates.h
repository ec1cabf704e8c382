// SPDX-License-Identifier: MIT
// Target candidates: groups the targets of a service that may get a new flow by how likely they are to answer it.
#pragma once

#include "steering_targets.h"

#include <array>
#include <span>
#include <vector>

namespace Robinrail {

// How likely a target is to answer, in the order in which targets are chosen.
enum class TargetHealth : std::uint8_t {
    Healthy,
    Suspect,
    Silent,
    Gone,
};

inline constexpr std::size_t TargetHealthCount = 4;

// Suspicion alone excludes at most 1 / SuspectShare of a service's usable targets in a data centre from new flows, as Envoy's
// panic threshold does. At a usual slot utilization of 20 to 50%, the other half can carry twice its load and no more.
inline constexpr std::size_t SuspectShare = 2;

class TargetCandidates
{
public:
    // Regroups these targets; those that are not eligible are left out.
    template<typename Eligible>
    void assign(TimePoint now, const SteeringTargets &all, std::span<SteeredTarget *const> targets, Eligible eligible)
    {
        for (std::vector<SteeredTarget *> &group : m_groups) {
            group.clear();
        }
        for (SteeredTarget *target : targets) {
            if (eligible(*target)) {
                group(healthOf(now, all, *target)).push_back(target);
            }
        }
        limitSuspicion();
    }

    // The targets of the best health that any has; empty if there are none.
    std::span<SteeredTarget *const> best() const;

private:
    static TargetHealth healthOf(TimePoint now, const SteeringTargets &all, const SteeredTarget &target);
    std::vector<SteeredTarget *> &group(TargetHealth health);
    void limitSuspicion();

    std::array<std::vector<SteeredTarget *>, TargetHealthCount> m_groups; // Reused between flows to avoid allocations.
};

} // namespace Robinrail

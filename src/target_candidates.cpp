// SPDX-License-Identifier: MIT
// Target candidates: implementation.
#include "target_candidates.h"

#include <algorithm>

namespace Robinrail {

TargetHealth TargetCandidates::healthOf(TimePoint now, const SteeringTargets &all, const SteeredTarget &target)
{
    if (target.isGone(now)) {
        return TargetHealth::Gone;
    }
    if (!all.reportedAlive(target)) {
        return TargetHealth::Silent;
    }
    return target.isSuspect(now) ? TargetHealth::Suspect : TargetHealth::Healthy;
}

std::vector<SteeredTarget *> &TargetCandidates::group(TargetHealth health)
{
    return m_groups[static_cast<std::size_t>(health)];
}

// Moves those suspects whose suspicion ends first to the healthy targets, as long as there are too many in a data centre.
void TargetCandidates::limitSuspicion()
{
    std::vector<SteeredTarget *> &healthy = group(TargetHealth::Healthy);
    std::vector<SteeredTarget *> &suspects = group(TargetHealth::Suspect);
    std::size_t kept = 0; // Suspects of the data centres that were processed.
    while (kept < suspects.size()) {
        const DataCentreId dataCentre = suspects[kept]->record.dataCentre;
        const auto inDataCentre = [dataCentre](const SteeredTarget *target) {
            return target->record.dataCentre == dataCentre;
        };
        const auto begin = suspects.begin() + static_cast<std::ptrdiff_t>(kept);
        const auto end = std::partition(begin, suspects.end(), inDataCentre);
        const auto count = static_cast<std::size_t>(end - begin);
        const std::size_t usable = count + static_cast<std::size_t>(std::count_if(healthy.begin(), healthy.end(), inDataCentre));
        const std::size_t excess = count - std::min(count, usable / SuspectShare);
        const auto excessEnd = begin + static_cast<std::ptrdiff_t>(excess);
        if (excess > 0) {
            std::nth_element(begin, excessEnd - 1, end, [](const SteeredTarget *one, const SteeredTarget *other) {
                return one->suspectUntil < other->suspectUntil;
            });
        }
        healthy.insert(healthy.end(), begin, excessEnd);
        suspects.erase(begin, excessEnd);
        kept += count - excess;
    }
}

std::span<SteeredTarget *const> TargetCandidates::best() const
{
    const auto found = std::find_if(m_groups.begin(), m_groups.end(), [](const std::vector<SteeredTarget *> &group) {
        return !group.empty();
    });
    return found != m_groups.end() ? std::span<SteeredTarget *const>(*found) : std::span<SteeredTarget *const>();
}

} // namespace Robinrail

// SPDX-License-Identifier: MIT
// Slot policies: deterministic assignment from the common view of targets and members, without messages.
//
// While the views of two balancers differ, a slot may be assigned twice; the target then refuses the second
// attempt, which is retried elsewhere. Correctness does not depend on the assignment.
#include "slot_policy.h"

#include <algorithm>

namespace Robinrail {

namespace {

// Members that targets in `dataCentre` are assigned to: those in the same data centre, or all if there are none.
std::vector<BalancerId> eligibleMembers(std::span<const PeerTable::Member> members, DataCentreId dataCentre)
{
    std::vector<BalancerId> local;
    std::vector<BalancerId> all;
    for (const PeerTable::Member &member : members) {
        all.push_back(member.id);
        if (member.dataCentre == dataCentre) {
            local.push_back(member.id);
        }
    }
    return local.empty() ? all : local;
}

// Assigns `unitsOf(target)` units of each target round robin to its eligible members, and calls
// assign(target, count) with the number of units of `self`.
template<typename UnitsOf, typename Assign>
void assignRoundRobin(std::span<Target *const> targets, std::span<const PeerTable::Member> members, BalancerId self, UnitsOf unitsOf, Assign assign)
{
    constexpr std::size_t DataCentreCount = 256;
    std::vector<std::size_t> nextMember(DataCentreCount, 0);
    std::vector<std::vector<BalancerId>> eligibleByDataCentre(DataCentreCount);
    for (Target *target : targets) {
        const DataCentreId dataCentre = target->announcement.dataCentre;
        std::vector<BalancerId> &eligible = eligibleByDataCentre[value(dataCentre)];
        if (eligible.empty()) {
            eligible = eligibleMembers(members, dataCentre);
        }
        std::uint16_t ownUnits = 0;
        for (std::uint16_t unit = 0; unit < unitsOf(*target) && !eligible.empty(); ++unit) {
            ownUnits += eligible[nextMember[value(dataCentre)]++ % eligible.size()] == self ? 1 : 0;
        }
        assign(*target, ownUnits);
    }
}

void assignSlotsRoundRobin(std::span<Target *const> targets, std::span<const PeerTable::Member> members, BalancerId self, TimePoint now)
{
    const auto usableUnits = [now](const Target &target) {
        return usableSlots(target, now);
    };
    assignRoundRobin(targets, members, self, usableUnits, [](Target &target, std::uint16_t ownUnits) {
        target.assignedSlots = ownUnits;
    });
}

} // namespace

void OptimisticSlots::assignSlots(std::span<Target *const> targets, std::span<const PeerTable::Member>, BalancerId, TimePoint now)
{
    for (Target *target : targets) {
        const std::uint16_t usable = usableSlots(*target, now);
        const int others = std::max(0, target->announcement.reportedRunning - target->running);
        target->assignedSlots = static_cast<std::uint16_t>(std::max(0, usable - others));
    }
}

void PartitionedTargets::assignSlots(std::span<Target *const> targets, std::span<const PeerTable::Member> members, BalancerId self, TimePoint now)
{
    const auto oneUnit = [](const Target &) {
        return std::uint16_t{1};
    };
    assignRoundRobin(targets, members, self, oneUnit, [now](Target &target, std::uint16_t ownUnits) {
        target.assignedSlots = ownUnits > 0 ? usableSlots(target, now) : std::uint16_t{0};
    });
}

void PartitionedSlotsNoOffload::assignSlots(std::span<Target *const> targets, std::span<const PeerTable::Member> members, BalancerId self, TimePoint now)
{
    assignSlotsRoundRobin(targets, members, self, now);
}

void PartitionedSlots::assignSlots(std::span<Target *const> targets, std::span<const PeerTable::Member> members, BalancerId self, TimePoint now)
{
    assignSlotsRoundRobin(targets, members, self, now);
}

} // namespace Robinrail

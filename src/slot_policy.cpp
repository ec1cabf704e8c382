// SPDX-License-Identifier: MIT
// Slot policies: dealing by rank in the common view of targets and members, without a message.
//
// Two balancers with different views deal differently for a while; then a slot is promised twice and
// the target refuses the second attempt, which is retried elsewhere. No promise rests on the deal.
#include "slot_policy.h"

#include <algorithm>

namespace Robinrail {

namespace {

// Members that slots of a target in `dataCentre` are dealt to: those beside it, or all if there are none.
std::vector<BalancerId> holdersIn(std::span<const PeerTable::Member> members, DataCentreId dataCentre)
{
    std::vector<BalancerId> near;
    std::vector<BalancerId> all;
    for (const PeerTable::Member &member : members) {
        all.push_back(member.id);
        if (member.dataCentre == dataCentre) {
            near.push_back(member.id);
        }
    }
    return near.empty() ? all : near;
}

// Deals `cardsOf(target)` cards of each target in turn to the members of its data centre, and calls
// take(target, count) with the cards that fall to `self`.
template<typename CardsOf, typename Take>
void dealInTurn(std::span<Target *const> targets, std::span<const PeerTable::Member> members, BalancerId self, CardsOf cardsOf, Take take)
{
    constexpr std::size_t DataCentreCount = 256;
    std::vector<std::size_t> turn(DataCentreCount, 0);
    std::vector<std::vector<BalancerId>> holders(DataCentreCount);
    for (Target *target : targets) {
        const DataCentreId dataCentre = target->announcement.dataCentre;
        std::vector<BalancerId> &near = holders[value(dataCentre)];
        if (near.empty()) {
            near = holdersIn(members, dataCentre);
        }
        std::uint16_t mine = 0;
        for (std::uint16_t card = 0; card < cardsOf(*target) && !near.empty(); ++card) {
            mine += near[turn[value(dataCentre)]++ % near.size()] == self ? 1 : 0;
        }
        take(*target, mine);
    }
}

void dealSlots(std::span<Target *const> targets, std::span<const PeerTable::Member> members, BalancerId self, TimePoint now)
{
    const auto cards = [now](const Target &target) {
        return usableSlots(target, now);
    };
    dealInTurn(targets, members, self, cards, [](Target &target, std::uint16_t mine) {
        target.share = mine;
    });
}

} // namespace

void OptimisticSlots::deal(std::span<Target *const> targets, std::span<const PeerTable::Member>, BalancerId, TimePoint now)
{
    for (Target *target : targets) {
        const std::uint16_t usable = usableSlots(*target, now);
        const int others = std::max(0, target->announcement.reportedRunning - target->running);
        target->share = static_cast<std::uint16_t>(std::max(0, usable - others));
    }
}

void PartitionedTargets::deal(std::span<Target *const> targets, std::span<const PeerTable::Member> members, BalancerId self, TimePoint now)
{
    const auto oneCard = [](const Target &) {
        return std::uint16_t{1};
    };
    dealInTurn(targets, members, self, oneCard, [now](Target &target, std::uint16_t mine) {
        target.share = mine > 0 ? usableSlots(target, now) : std::uint16_t{0};
    });
}

void PartitionedSlotsNoOffload::deal(std::span<Target *const> targets, std::span<const PeerTable::Member> members, BalancerId self, TimePoint now)
{
    dealSlots(targets, members, self, now);
}

void PartitionedSlots::deal(std::span<Target *const> targets, std::span<const PeerTable::Member> members, BalancerId self, TimePoint now)
{
    dealSlots(targets, members, self, now);
}

} // namespace Robinrail

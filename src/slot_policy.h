// SPDX-License-Identifier: MIT
// Slot policies: ways to share the slots of a target among balancers that cannot coordinate per request.
// docs/DECISIONS.md compares them; the daemons use PartitionedSlots, with offload.
#pragma once

#include "peer_table.h"
#include "target_table.h"

#include <concepts>
#include <span>

namespace Robinrail {

// A policy determines how many slots of each target this balancer may use, and whether it may offload an attempt
// to a peer with a free slot.
template<typename Policy>
concept SlotPolicy = requires(std::span<Target *const> targets, std::span<const PeerTable::Member> members, BalancerId self, TimePoint now)
{
    {
        Policy::OffloadsToPeers
        } -> std::convertible_to<bool>;
    Policy::assignSlots(targets, members, self, now);
};

// Every balancer uses any slot that it believes to be free: the target's slots, less the running attempts of others that the
// target last reported. Reports lag behind, so targets refuse the excess attempts.
struct OptimisticSlots {
    static constexpr bool OffloadsToPeers = false;
    static void assignSlots(std::span<Target *const> targets, std::span<const PeerTable::Member> members, BalancerId self, TimePoint now);
};

// Each target is assigned to one balancer, which alone uses its slots.
struct PartitionedTargets {
    static constexpr bool OffloadsToPeers = true;
    static void assignSlots(std::span<Target *const> targets, std::span<const PeerTable::Member> members, BalancerId self, TimePoint now);
};

// Each slot is assigned to one balancer; attempts are not offloaded.
struct PartitionedSlotsNoOffload {
    static constexpr bool OffloadsToPeers = false;
    static void assignSlots(std::span<Target *const> targets, std::span<const PeerTable::Member> members, BalancerId self, TimePoint now);
};

// Each slot is assigned to one balancer; a balancer without a free slot offloads attempts to a peer that has one.
struct PartitionedSlots {
    static constexpr bool OffloadsToPeers = true;
    static void assignSlots(std::span<Target *const> targets, std::span<const PeerTable::Member> members, BalancerId self, TimePoint now);
};

} // namespace Robinrail

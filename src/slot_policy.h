// SPDX-License-Identifier: MIT
// Slot policies: three ways to share the slots of a host among balancers that cannot talk for each
// request. docs/DECISIONS.md compares them; the daemons use PartitionedSlots with offload.
#pragma once

#include "peer_table.h"
#include "target_table.h"

#include <concepts>
#include <span>

namespace Robinrail {

// A policy says how many slots of each target this balancer may fill, and whether it may ask a peer
// with a free slot to run an attempt.
template<typename Policy>
concept SlotPolicy = requires(std::span<Target *const> targets, std::span<const PeerTable::Member> members, BalancerId self, TimePoint now)
{
    {
        Policy::OffloadsToPeers
        } -> std::convertible_to<bool>;
    Policy::assignSlots(targets, members, self, now);
};

// Every balancer fills any free slot that it knows of: the target's slots less its own attempts, less
// what the target last reported of others. Reports lag, so targets refuse the surplus.
struct OptimisticSlots {
    static constexpr bool OffloadsToPeers = false;
    static void assignSlots(std::span<Target *const> targets, std::span<const PeerTable::Member> members, BalancerId self, TimePoint now);
};

// Each target belongs to one balancer, which alone fills its slots.
struct PartitionedTargets {
    static constexpr bool OffloadsToPeers = true;
    static void assignSlots(std::span<Target *const> targets, std::span<const PeerTable::Member> members, BalancerId self, TimePoint now);
};

// Each single slot belongs to one balancer; nothing is moved between balancers.
struct PartitionedSlotsNoOffload {
    static constexpr bool OffloadsToPeers = false;
    static void assignSlots(std::span<Target *const> targets, std::span<const PeerTable::Member> members, BalancerId self, TimePoint now);
};

// Each single slot belongs to one balancer, and a balancer without a free one asks a peer that has.
struct PartitionedSlots {
    static constexpr bool OffloadsToPeers = true;
    static void assignSlots(std::span<Target *const> targets, std::span<const PeerTable::Member> members, BalancerId self, TimePoint now);
};

} // namespace Robinrail

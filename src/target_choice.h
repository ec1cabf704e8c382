// SPDX-License-Identifier: MIT
// Target choice: where a flow is bound, and where its next request runs.
#pragma once

#include "message.h"
#include "target_table.h"

#include <span>

namespace Robinrail {

// Binds a flow by weighted rendezvous hashing with bounded load (Mirrokni, Thorup and Zadimoghaddam
// 2016 for the bound): weights are usable slots, and a target that already has a quarter more feeds
// than its fair part, or its part of the connection limit, is passed over while another is not.
// Null without a serving target that has a connection to spare.
// `avoid` and targets that were silent of late are taken only if no other is left.
Target *chooseFeedTarget(std::span<Target> targets, ServiceId service, FlowId flow, std::size_t members, std::optional<TargetId> avoid, TimePoint now);

// Picks the target for an attempt among those with a free slot of this balancer's share: the least
// filled first, then the one not used for longest. Targets in `avoid` refused this request before.
Target *chooseAttemptTarget(std::span<Target> targets, ServiceId service, std::span<const TargetId> avoid, TimePoint now);

// Free slots of this balancer's share over the targets of the service.
std::uint32_t countFreeSlots(std::span<const Target> targets, ServiceId service, TimePoint now);

// All slots of this balancer's share over the targets of the service.
std::uint32_t countAssignedSlots(std::span<const Target> targets, ServiceId service);

// Slots of all serving targets of the service, whoever's share they are in.
std::uint32_t countUsableSlots(std::span<const Target> targets, ServiceId service, TimePoint now);

// Whether any target of the service serves.
bool anyServing(std::span<const Target> targets, ServiceId service);

} // namespace Robinrail

// SPDX-License-Identifier: MIT
// Target choice: selects the target that a feed is bound to, and the target that runs an attempt.
#pragma once

#include "message.h"
#include "target_table.h"

#include <span>

namespace Robinrail {

// Binds a feed by weighted rendezvous hashing with bounded load (Mirrokni, Thorup and Zadimoghaddam
// 2016 for the bound). Weights are usable slots. A target that already has a quarter more feeds than its
// fair share, or this balancer's share of its connection limit, is skipped.
// Returns null if no serving target has a connection to spare.
// `avoid` and unresponsive targets are chosen only if there is no other.
Target *chooseFeedTarget(std::span<Target> targets, ServiceId service, FlowId flow, std::size_t memberCount, std::optional<TargetId> avoid, TimePoint now);

// Selects the target for an attempt among those with a free slot assigned to this balancer: the least
// utilized, then the least recently used. Targets in `avoid` refused or lost an earlier attempt.
Target *chooseAttemptTarget(std::span<Target> targets, ServiceId service, std::span<const TargetId> avoid, TimePoint now);

// Free slots assigned to this balancer, over all targets of the service.
std::uint32_t countFreeSlots(std::span<const Target> targets, ServiceId service, TimePoint now);

// Slots assigned to this balancer, free or not, over all targets of the service.
std::uint32_t countAssignedSlots(std::span<const Target> targets, ServiceId service);

// Usable slots of all serving targets of the service, whichever balancer they are assigned to.
std::uint32_t countUsableSlots(std::span<const Target> targets, ServiceId service, TimePoint now);

// Whether any target of the service is serving.
bool anyServing(std::span<const Target> targets, ServiceId service);

} // namespace Robinrail

// SPDX-License-Identifier: MIT
// Pin fixture: opening pins of the callers and targets of a test balancer.
#pragma once

#include "opening_pins.h"
#include "steering_balancer.h"

namespace Robinrail {

inline FlowKey flowOf(std::uint32_t caller)
{
    const FlowPacket packet = SteeringBalancer::packet(caller);
    return {packet.caller, packet.route};
}

inline FlowToken tokenOf(std::uint64_t target)
{
    return SteeringTargets::tokenOf(TargetKey{target});
}

inline OpeningPin pinOf(std::uint32_t caller, std::uint64_t target, Duration age = std::chrono::milliseconds(60), bool open = false)
{
    return {flowOf(caller), tokenOf(target), age, open};
}

} // namespace Robinrail

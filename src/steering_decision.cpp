// SPDX-License-Identifier: MIT
// Steering decision: implementation.
#include "steering_decision.h"

#include <array>

namespace Robinrail {

namespace {

constexpr std::array<std::string_view, SteeringReasonCount> ReasonNames = {"new-flow",
                                                                           "repeated-opening",
                                                                           "other-target",
                                                                           "open-flow",
                                                                           "pinned-flow",
                                                                           "no-route",
                                                                           "no-target",
                                                                           "route-dropped",
                                                                           "target-left",
                                                                           "target-gone",
                                                                           "unknown-token",
                                                                           "not-informed",
                                                                           "overloaded",
                                                                           "late-opening",
                                                                           "port-in-use"};

} // namespace

std::string_view nameOf(SteeringReason reason)
{
    return ReasonNames[static_cast<std::size_t>(reason)];
}

} // namespace Robinrail

// SPDX-License-Identifier: MIT
// Probe fixture: a silent and a living target, and the replicas that probe them.
#pragma once

#include "target_probe.h"

namespace Robinrail {

inline constexpr DataCentreId Here{1};
inline constexpr ReplicaId FirstReplica{11};
inline constexpr ReplicaId SecondReplica{12};
inline constexpr ReplicaLocation FirstProber{FirstReplica, Here};
inline constexpr ReplicaLocation SecondProber{SecondReplica, Here};
inline constexpr LossTolerance OneReplica{1, 0};
inline constexpr TargetKey Silent{101};
inline constexpr TargetKey Living{102};

// A report of a target whose announcement is not overdue.
inline ReportedTarget reported(TargetKey key)
{
    return {key, 0, {}, false};
}

} // namespace Robinrail

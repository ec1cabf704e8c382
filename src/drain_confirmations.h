// SPDX-License-Identifier: MIT
// Drain confirmations: a drain or departure is confirmed once so many replicas know of it that at least one of them remains
// after any tolerated loss.
#pragma once

#include "loss_tolerance.h"
#include "target_record.h"

#include <functional>
#include <map>

namespace Robinrail {

// A drain that is not confirmed within this time gets no answer, so that the target turns to another replica. Targets wait
// for 1 s.
inline constexpr Duration DrainAnswerTimeout = std::chrono::milliseconds(850);

class DrainConfirmations
{
public:
    // Called once with whether enough replicas know.
    using Respond = std::function<void(bool confirmed)>;

    // `self` counts as one of the replicas that know. A drain is confirmed once they satisfy `tolerance`.
    DrainConfirmations(const LossTolerance &tolerance, const ReplicaLocation &self);

    // Whether enough replicas have known of this phase of a lifetime. This remains valid: a replica that loses its disk later
    // is informed again when it connects.
    bool confirmed(TargetLifetime lifetime, TargetPhase phase) const;

    // The target was removed from the directory.
    void forget(TargetKey key);

    // Waits for receipts of this phase or a later one; responds immediately if none are needed.
    void await(TimePoint now, TargetLifetime lifetime, TargetPhase phase, Respond respond);

    // Another replica has confirmed that it knows of this phase.
    void receipt(const ReplicaLocation &from, TargetLifetime lifetime, TargetPhase phase);

    // Fails the drains that have timed out, and returns their number.
    std::size_t expire(TimePoint now);

private:
    struct Pending {
        TargetPhase phase = TargetPhase::Draining;
        ReplicaLocations holders;
        TimePoint deadline;
        Respond respond;
    };

    LossTolerance m_tolerance;
    ReplicaLocations m_self;
    std::multimap<TargetLifetime, Pending> m_pending;
    std::map<TargetKey, TargetReceipt> m_confirmed; // The latest confirmed phase of each target.
};

} // namespace Robinrail

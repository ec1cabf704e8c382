// SPDX-License-Identifier: MIT
// Drain confirmations: a drain or an end is answered once so many other replicas know of it that the losses
// which must be borne leave one that does.
#pragma once

#include "loss_tolerance.h"
#include "target_record.h"

#include <functional>
#include <map>

namespace Robinrail {

// A drain is answered once enough replicas know of it; not at all after this, so that the target asks
// another replica. Targets wait for 1 s.
inline constexpr Duration DrainAnswerTimeout = std::chrono::milliseconds(850);

class DrainConfirmations
{
public:
    // Called once: whether enough replicas know.
    using Respond = std::function<void(bool confirmed)>;

    // Besides `self` so many others must know that any borne loss leaves one of them.
    DrainConfirmations(const LossTolerance &borne, const ReplicaLocation &self);

    // Whether enough replicas knew of this phase of a lifetime at some time. A replica that loses its disk after that is told
    // again when it links up, so the word holds.
    bool confirmed(TargetLifetime lifetime, TargetPhase phase) const;

    // Its lifetimes are known no more.
    void forget(TargetKey key);

    // Waits for receipts of this phase or a later one; responds at once if none are needed.
    void await(TimePoint now, TargetLifetime lifetime, TargetPhase phase, Respond respond);

    // Another replica knows that the target is in this phase.
    void receipt(const ReplicaLocation &from, TargetLifetime lifetime, TargetPhase phase);

    // Gives up on those that waited too long; how many these were.
    std::size_t expire(TimePoint now);

private:
    struct Open {
        TargetPhase phase = TargetPhase::Draining;
        Witnesses witnesses;
        TimePoint deadline;
        Respond respond;
    };

    LossTolerance m_borne;
    Witnesses m_self;
    std::multimap<TargetLifetime, Open> m_open;
    std::map<TargetKey, TargetReceipt> m_confirmed; // The latest of each target.
};

} // namespace Robinrail

// SPDX-License-Identifier: MIT
// Change batch: collects the targets that changed at this replica until they are sent to the other replicas.
//
// A release changes thousands of targets within seconds. With one message for each change and replica, the number of
// messages would be changes x replicas. The first change after a pause is therefore sent immediately, and all changes
// within the ChangeBatchInterval that follows are sent together.
#pragma once

#include "target_record.h"

#include <set>
#include <vector>

namespace Robinrail {

// Minimum time between two batches to the other replicas. It may delay the confirmation of a drain, which callers do not
// notice because a draining target continues to serve for seconds.
inline constexpr Duration ChangeBatchInterval = std::chrono::milliseconds(25);

class ChangeBatch
{
public:
    // Marks a target as changed. Adding it again before it was sent has no effect.
    void add(TargetKey key)
    {
        m_pending.insert(key);
    }

    // Removes and returns the targets to send now; empty until ChangeBatchInterval has passed since the last batch.
    std::vector<TargetKey> take(TimePoint now)
    {
        if (m_pending.empty() || now < m_due) {
            return {};
        }
        m_due = now + ChangeBatchInterval;
        std::vector<TargetKey> keys(m_pending.begin(), m_pending.end());
        m_pending.clear();
        return keys;
    }

private:
    std::set<TargetKey> m_pending;
    TimePoint m_due;
};

} // namespace Robinrail

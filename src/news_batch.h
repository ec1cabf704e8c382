// SPDX-License-Identifier: MIT
// News batch: targets that changed here, until the other replicas are told.
//
// The pattern that it answers: a release changes thousands of targets within seconds, and each change told to each other
// replica by a message of its own costs changes x replicas of them. The first change after a pause is told at once; what
// follows within ReplicaUpdateInterval shares one message, however much it is.
#pragma once

#include "target_record.h"

#include <set>
#include <vector>

namespace Robinrail {

// The other replicas are told of changes this often at most. A drain waits for it at worst; callers notice nothing, as
// a draining target serves on for seconds.
inline constexpr Duration ReplicaUpdateInterval = std::chrono::milliseconds(25);

class ChangeBatch
{
public:
    // The others must hear of this target; twice is once.
    void add(TargetKey key)
    {
        m_waiting.insert(key);
    }

    // The targets to tell of now; none while the last ones were told a moment ago.
    std::vector<TargetKey> take(TimePoint now)
    {
        if (m_waiting.empty() || now < m_due) {
            return {};
        }
        m_due = now + ReplicaUpdateInterval;
        std::vector<TargetKey> keys(m_waiting.begin(), m_waiting.end());
        m_waiting.clear();
        return keys;
    }

private:
    std::set<TargetKey> m_waiting;
    TimePoint m_due;
};

} // namespace Robinrail

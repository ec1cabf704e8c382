// SPDX-License-Identifier: MIT
// Slot schedule: when a simulated target processes a request, with a number of slots and a queue in front of them.
#pragma once

#include "types.h"

#include <algorithm>
#include <deque>
#include <optional>
#include <vector>

namespace Robinrail::Soak {

class SlotSchedule
{
public:
    SlotSchedule(std::size_t slots, std::size_t queueLength)
        : m_freeAt(slots)
        , m_queueLength(queueLength)
    {
    }

    // When a request that arrives now and takes this long is done; empty if all slots and the queue are full.
    std::optional<TimePoint> add(TimePoint now, Duration workTime)
    {
        while (!m_starts.empty() && m_starts.front() <= now) {
            m_starts.pop_front();
        }
        const auto slot = std::ranges::min_element(m_freeAt);
        const TimePoint start = std::max(now, *slot);
        if (start > now && m_starts.size() >= m_queueLength) {
            return std::nullopt;
        }
        if (start > now) {
            m_starts.push_back(start);
        }
        *slot = start + workTime;
        return *slot;
    }

private:
    std::vector<TimePoint> m_freeAt; // Of each slot.
    std::size_t m_queueLength;
    std::deque<TimePoint> m_starts; // When the requests in the queue start, earliest first.
};

} // namespace Robinrail::Soak

// SPDX-License-Identifier: MIT
// Offload deduplication: records which attempts of peers were accepted or declined here, so that a duplicated packet runs none twice.
#pragma once

#include "message.h"

#include <unordered_map>

namespace Robinrail {

// Retention time of recorded attempts; far above the longest deadline.
inline constexpr Duration OffloadRetention = std::chrono::seconds(120);

// Number of recorded attempts of one peer incarnation above which expired ones are removed.
inline constexpr std::size_t OffloadPruneThreshold = 4096;

class OffloadDeduplicator
{
public:
    // Records the attempt; returns whether it was not recorded before.
    bool recordIfNew(TimePoint now, const AttemptKey &attempt);

private:
    struct Window {
        std::unordered_map<std::uint64_t, TimePoint> seen;
        std::uint64_t floor = 0; // Serials up to here count as seen.
    };
    std::unordered_map<std::uint64_t, Window> m_windows; // Keyed by the hash of the peer's id and incarnation.
};

} // namespace Robinrail

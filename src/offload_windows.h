// SPDX-License-Identifier: MIT
// Offload windows: which attempts of peers were taken or declined here. A repeated packet must not run one twice.
#pragma once

#include "message.h"

#include <unordered_map>

namespace Robinrail {

// Attempts are remembered for this long, far above the longest deadline.
inline constexpr Duration OffloadRetention = std::chrono::seconds(120);

// Attempts of one peer run above which the old ones are looked for.
inline constexpr std::size_t OffloadPruneThreshold = 4096;

class OffloadDeduplicator
{
public:
    // Whether this attempt comes here for the first time.
    bool recordIfNew(TimePoint now, const AttemptKey &attempt);

private:
    struct Window {
        std::unordered_map<std::uint64_t, TimePoint> seen;
        std::uint64_t floor = 0; // Serials up to here count as seen.
    };
    std::unordered_map<std::uint64_t, Window> m_windows; // By hash of the peer run.
};

} // namespace Robinrail

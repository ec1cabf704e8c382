// SPDX-License-Identifier: MIT
// Offload deduplication: recording and pruning of attempts.
#include "offload_deduplicator.h"

#include "hash.h"

#include <algorithm>

namespace Robinrail {

bool OffloadDeduplicator::recordIfNew(TimePoint now, const AttemptKey &attempt)
{
    Window &window = m_windows[hashPair(value(attempt.owner.id), value(attempt.owner.incarnation))];
    if (attempt.serial <= window.floor || !window.seen.emplace(attempt.serial, now).second) {
        return false;
    }
    if (window.seen.size() > OffloadPruneThreshold) {
        std::erase_if(window.seen, [&window, now](const auto &entry) {
            const bool old = now - entry.second >= OffloadRetention;
            window.floor = old ? std::max(window.floor, entry.first) : window.floor;
            return old;
        });
    }
    return true;
}

} // namespace Robinrail

// SPDX-License-Identifier: MIT
// Directory reconciler: finds targets that other replicas know and this replica does not (anti-entropy).
//
// Replicas are queried one after the other, each for its current digest. Targets that all of them know are thus received
// once and not once from each, and changes that arrive meanwhile over established links do not count as differences.
// DirectoryResponder is the answering side.
#pragma once

#include "directory_digest.h"
#include "raft_message.h"
#include "target_directory.h"

#include <deque>
#include <optional>

namespace Robinrail {

// A link to another replica.
using ReplicaLinkId = std::uint64_t;

// A replica that was queried and sent nothing for this long is queried again after the others. A link that is entirely
// silent for this long counts as lost.
inline constexpr Duration ReconcileTimeout = std::chrono::seconds(2);

class DirectoryReconciler
{
public:
    struct Comparison {
        ReplicaLinkId link = 0;
        DirectoryCompare compare;
    };

    // Compares `directory`, which must outlive this, with those of other replicas.
    explicit DirectoryReconciler(const TargetDirectory &directory);

    // A link to another replica was established, which schedules a comparison; it was lost.
    void linked(ReplicaId peer, ReplicaLinkId link);
    void closed(ReplicaLinkId link);

    // The next comparison to request; empty while one is in progress or none are scheduled.
    std::optional<Comparison> nextComparison(TimePoint now);

    // A digest was received. Returns the query to send on that link; empty if nothing differs.
    std::optional<DirectoryQuery> onDigest(TimePoint now, ReplicaLinkId link, const DirectoryDigest &digest);

    // Some of the queried targets may have arrived on this link; all of them have.
    void onProgress(TimePoint now, ReplicaLinkId link);
    void onQueryDone(ReplicaLinkId link, const DirectoryQueryDone &done);

    // Whether the complete directory of an informed replica has been received.
    bool informed() const;

private:
    struct Peer {
        ReplicaId replica{};
        ReplicaLinkId link = 0;
    };
    bool isCurrent(ReplicaLinkId link) const;

    const TargetDirectory &m_directory;
    std::deque<Peer> m_waiting;
    std::optional<Peer> m_current;
    TimePoint m_lastProgress;
    std::size_t m_buckets = 0; // Of the comparison in progress.
    bool m_informed = false;
};

} // namespace Robinrail

// SPDX-License-Identifier: MIT
// Directory reconciler: a replica's side of finding out what other replicas know of the targets and it does not.
//
// Replicas are asked one after the other, each for a digest of that moment: what all others know comes once and not once
// from each, and what is told meanwhile on the links that are up does not count as a difference. DirectoryResponder is the
// other side.
#pragma once

#include "directory_digest.h"
#include "raft_message.h"
#include "target_directory.h"

#include <deque>
#include <optional>

namespace Robinrail {

// A link to another replica.
using ReplicaLinkId = std::uint64_t;

// A replica that was asked and sent nothing for so long is asked again after the others; a link that says nothing at all
// counts as dead then.
inline constexpr Duration ReconcileTimeout = std::chrono::seconds(2);

class DirectoryReconciler
{
public:
    struct Question {
        ReplicaLinkId link = 0;
        DirectoryCompare compare;
    };

    // Compares `directory`, which must outlive it, with those of others.
    explicit DirectoryReconciler(const TargetDirectory &directory);

    // A link to another replica came up, whose directory is to be compared; is gone.
    void linked(ReplicaId peer, ReplicaLinkId link);
    void closed(ReplicaLinkId link);

    // Whom to ask now; empty while a question is open, or all have been asked.
    std::optional<Question> ask(TimePoint now);

    // The answer came. What to ask for, of that link; empty if nothing differs.
    std::optional<DirectoryQuery> digest(TimePoint now, ReplicaLinkId link, const DirectoryDigest &digest);

    // Some of what was asked for may have come on this link; all of it has.
    void progressed(TimePoint now, ReplicaLinkId link);
    void answered(ReplicaLinkId link, const DirectoryQueryDone &answer);

    // Whether all that a replica held that knew of all targets was taken.
    bool informed() const;

private:
    struct Peer {
        ReplicaId replica{};
        ReplicaLinkId link = 0;
    };
    bool isAsked(ReplicaLinkId link) const;

    const TargetDirectory &m_directory;
    std::deque<Peer> m_waiting;
    std::optional<Peer> m_asked;
    TimePoint m_progressAt;
    std::size_t m_buckets = 0; // Of the open question.
    bool m_informed = false;
};

} // namespace Robinrail

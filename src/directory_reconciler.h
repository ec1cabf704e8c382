// SPDX-License-Identifier: MIT
// Directory reconciler: a replica's side of finding out what other replicas know of the targets and it does not. One
// replica is asked at a time, so that what all others know in the same words comes once and not once from each.
// DirectoryAnswers is the other side.
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
        DirectoryQuery query;
    };

    // Compares `directory`, which must outlive it, with those of others.
    explicit DirectoryReconciler(const TargetDirectory &directory);

    // Another replica told what it holds; a later digest takes the place of the former one, whichever link it came on.
    void digest(ReplicaId peer, ReplicaLinkId link, DirectoryDigest digest);

    // Some of what was asked for may have come on this link.
    void progressed(TimePoint now, ReplicaLinkId link);

    // All that was asked for on this link has come.
    void answered(ReplicaLinkId link, const DirectoryAnswered &answer);

    // A link is gone.
    void closed(ReplicaLinkId link);

    // Whom to ask now, for what; empty while a question is open or nothing is lacking.
    std::optional<Question> ask(TimePoint now);

    // Whether all that a replica held that knew of all targets was taken.
    bool informed() const;

private:
    struct Waiting {
        ReplicaId peer{};
        ReplicaLinkId link = 0;
        DirectoryDigest digest;
    };

    const TargetDirectory &m_directory;
    std::deque<Waiting> m_waiting;
    std::optional<Waiting> m_asked;
    TimePoint m_progressAt;
    bool m_informed = false;
};

} // namespace Robinrail

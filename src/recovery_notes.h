// SPDX-License-Identifier: MIT
// Recovery notes: state that lets a replica serve right after a restart, before a leader has contacted it.
// They are only an optimization: without them the replica serves about a second later.
#pragma once

#include "codec.h"
#include "node_message.h"

namespace Robinrail {

struct RecoveryNotes {
    std::uint64_t disk = 0; // Disk number of the log that `committed` refers to.
    LogIndex committed{}; // Commit index. Entries up to it stay committed, so an outdated value is safe.
    std::vector<TargetStatus> targets; // Last known state of the targets.
    std::vector<ReplicaLocation> replicas; // Last known data centres of the replicas; balancers prefer replicas in their own.

    static constexpr std::size_t OldestFields = 3;

    auto fields()
    {
        return std::tie(disk, committed, targets, replicas);
    }
};

inline Bytes encodeNotes(const RecoveryNotes &notes)
{
    return encodeMessage(std::variant<RecoveryNotes>(notes));
}

inline std::optional<RecoveryNotes> decodeNotes(BytesView bytes)
{
    std::optional<std::variant<RecoveryNotes>> notes = decodeMessage<std::variant<RecoveryNotes>>(bytes);
    return notes ? std::optional(std::get<0>(std::move(*notes))) : std::nullopt;
}

} // namespace Robinrail

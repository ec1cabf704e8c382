// SPDX-License-Identifier: MIT
// Recovery notes: what a replica wants to know at once after a restart, before a leader speaks to it. Lost
// notes cost a second of service and nothing else.
#pragma once

#include "codec.h"
#include "node_message.h"

namespace Robinrail {

struct RecoveryNotes {
    std::uint64_t disk = 0; // Whose log this is about.
    LogIndex committed{}; // Entries up to here are committed, which never stops being true.
    std::vector<TargetStatus> targets; // As last known.
    std::vector<ReplicaLocation> replicas; // Where they were; balancers look for those of their own data centre.

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

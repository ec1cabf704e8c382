// SPDX-License-Identifier: MIT
// Control core: a control replica without I/O, that is consensus, state machine and waiting operators.
#pragma once

#include "control_state.h"
#include "raft_core.h"

#include <map>
#include <set>

namespace Robinrail {

// After this many applied entries the log is replaced by a snapshot of the state.
inline constexpr std::uint64_t CompactionInterval = 4096;

// How a request of an operator ended.
enum class ControlStatus : std::uint8_t {
    Done,
    NotLeader, // Nothing was done; ask the leader.
    Unknown, // The change may be applied or not; send it again with the same change id.
};

struct ControlReply {
    std::uint64_t ticket = 0;
    ControlStatus status = ControlStatus::Done;
    ChangeResult result; // Of a change that is done.
};

class ControlCore
{
public:
    ControlCore(ReplicaKey self, RaftDurable durable, TimePoint now, std::uint32_t seed);

    void tick(TimePoint now);
    void handle(TimePoint now, ReplicaKey from, const RaftMessage &message);

    // Proposes a change; its reply with this ticket comes from takeReplies().
    void submit(TimePoint now, std::uint64_t ticket, const SignedChange &change);

    // Asks for a linearizable read: once the reply with this ticket is Done, state() may be read.
    void read(TimePoint now, std::uint64_t ticket);

    // What must be persisted, then sent. After that the driver calls applied() with the same output.
    RaftOutput takeOutput();

    // Applies what was committed; call it once the output is persisted and synced.
    void apply(const RaftOutput &output);

    // Replaces the log by a snapshot if it has grown; true if the driver must write raft().snapshot().
    bool compactIfDue();

    std::vector<ControlReply> takeReplies();

    const ControlState &state() const;
    const RaftCore &raft() const;

private:
    struct Waiting {
        std::uint64_t ticket = 0;
        Term term{};
    };
    void applyEntry(const LogEntry &entry);
    void answerReads();
    void failWaiting();

    RaftCore m_raft;
    ControlState m_state;
    LogIndex m_applied{};
    std::map<LogIndex, Waiting> m_waiting;
    std::vector<ReadReady> m_reads; // Confirmed, but not applied far enough yet.
    std::set<std::uint64_t> m_openReads; // Asked for and not confirmed.
    std::vector<ControlReply> m_replies;
};

} // namespace Robinrail

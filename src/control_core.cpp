// SPDX-License-Identifier: MIT
// Control core: implementation.
#include "control_core.h"

#include <cassert>

namespace Robinrail {

ControlCore::ControlCore(ReplicaKey self, RaftDurable durable, TimePoint now, std::uint32_t seed)
    : m_raft(self, durable, now, seed)
{
    if (durable.snapshot) {
        [[maybe_unused]] const bool sound = m_state.restore(durable.snapshot->state);
        assert(sound);
        m_applied = durable.snapshot->index;
    }
}

void ControlCore::tick(TimePoint now)
{
    m_raft.tick(now);
    failWaiting();
}

void ControlCore::handle(TimePoint now, ReplicaKey from, const RaftMessage &message)
{
    m_raft.handle(now, from, message);
    failWaiting();
}

void ControlCore::submit(TimePoint now, std::uint64_t ticket, const SignedChange &change)
{
    const std::optional<LogIndex> index = m_raft.propose(now, encodeMessage(ControlCommand(change)));
    if (!index) {
        m_replies.push_back({ticket, ControlStatus::NotLeader, {}});
        return;
    }
    m_waiting[*index] = {ticket, m_raft.term()};
}

void ControlCore::read(TimePoint now, std::uint64_t ticket)
{
    m_openReads.insert(ticket);
    if (!m_raft.requestRead(now, ticket)) {
        m_openReads.erase(ticket);
        m_replies.push_back({ticket, ControlStatus::NotLeader, {}});
    }
}

RaftOutput ControlCore::takeOutput()
{
    return m_raft.takeOutput();
}

void ControlCore::apply(const RaftOutput &output)
{
    if (output.snapshot) {
        [[maybe_unused]] const bool sound = m_state.restore(output.snapshot->state);
        assert(sound);
        m_applied = output.snapshot->index;
    }
    for (const LogEntry &entry : output.committed) {
        applyEntry(entry);
    }
    for (const ReadReady &read : output.reads) {
        m_openReads.erase(read.ticket);
        m_reads.push_back(read);
    }
    answerReads();
}

void ControlCore::applyEntry(const LogEntry &entry)
{
    assert(value(entry.index) == value(m_applied) + 1);
    m_applied = entry.index;
    ChangeResult result;
    if (entry.kind == EntryKind::Command) {
        const std::optional<ControlCommand> command = decodeMessage<ControlCommand>(entry.data);
        if (const auto *change = command ? std::get_if<SignedChange>(&*command) : nullptr) {
            result = m_state.apply(*change);
        } else if (command) {
            m_state.apply(std::get<Genesis>(*command));
        }
    }
    const auto waiting = m_waiting.find(entry.index);
    if (waiting != m_waiting.end()) {
        const bool own = waiting->second.term == entry.term;
        m_replies.push_back({waiting->second.ticket, own ? ControlStatus::Done : ControlStatus::Unknown, result});
        m_waiting.erase(waiting);
    }
}

void ControlCore::answerReads()
{
    std::erase_if(m_reads, [this](const ReadReady &read) {
        if (read.index > m_applied) {
            return false;
        }
        m_replies.push_back({read.ticket, ControlStatus::Done, {}});
        return true;
    });
}

// A replica that no longer leads can't say what becomes of the changes that it proposed.
void ControlCore::failWaiting()
{
    if (m_raft.role() == RaftRole::Leader) {
        return;
    }
    for (const auto &[index, waiting] : m_waiting) {
        m_replies.push_back({waiting.ticket, ControlStatus::Unknown, {}});
    }
    m_waiting.clear();
    for (const std::uint64_t ticket : m_openReads) {
        m_replies.push_back({ticket, ControlStatus::NotLeader, {}});
    }
    m_openReads.clear();
}

bool ControlCore::compactIfDue()
{
    if (value(m_applied) < value(m_raft.snapshot().index) + CompactionInterval) {
        return false;
    }
    m_raft.compact(m_applied, m_state.serialize());
    return true;
}

std::vector<ControlReply> ControlCore::takeReplies()
{
    return std::exchange(m_replies, {});
}

const ControlState &ControlCore::state() const
{
    return m_state;
}

const RaftCore &ControlCore::raft() const
{
    return m_raft;
}

} // namespace Robinrail

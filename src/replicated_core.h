// SPDX-License-Identifier: MIT
// Replicated core: a replica without I/O. Combines the Raft core, a state machine and the pending client requests.
#pragma once

#include "raft_core.h"

#include <cassert>
#include <concepts>
#include <map>
#include <set>
#include <utility>

namespace Robinrail {

// The log is compacted into a snapshot after this many applied entries.
inline constexpr std::uint64_t CompactionInterval = 4096;

// The replicated state machine. Must be deterministic: the same commands in the same order give the same state.
template<typename M>
concept StateMachine = requires(M &machine, const M &constMachine, BytesView bytes, const typename M::Change &change)
{
    {
        M::encodeChange(change)
        } -> std::same_as<Bytes>;
    {
        machine.applyCommand(bytes)
        } -> std::same_as<typename M::Result>;
    {
        constMachine.serialize()
        } -> std::same_as<Bytes>;
    {
        machine.restore(bytes)
        } -> std::same_as<bool>;
    {
        M::CompactionBytes
        } -> std::convertible_to<std::size_t>;
};

// Result of a request to a replica.
enum class RequestStatus : std::uint8_t {
    Done,
    NotLeader, // Nothing was done; retry at the leader.
    Unknown, // The change may or may not be applied; retry.
};

template<StateMachine Machine>
class ReplicatedCore
{
public:
    struct Reply {
        std::uint64_t ticket = 0;
        RequestStatus status = RequestStatus::Done;
        typename Machine::Result result; // Result of the change if the status is Done.
    };

    ReplicatedCore(ReplicaKey self, PersistentRaftState durable, TimePoint now, std::uint32_t seed, RaftPolicy policy = {})
        : m_raft(self, durable, now, seed, policy)
    {
        if (durable.snapshot) {
            restore(*durable.snapshot);
        }
    }

    void tick(TimePoint now)
    {
        m_raft.tick(now);
        failPendingRequests();
    }

    void handle(TimePoint now, ReplicaKey from, const RaftMessage &message)
    {
        m_raft.handle(now, from, message);
        failPendingRequests();
    }

    // Starts a planned stop; see RaftCore::beginStop().
    void beginStop(TimePoint now, Duration longest)
    {
        m_raft.beginStop(now, longest);
        failPendingRequests();
    }

    // Proposes a change; takeReplies() returns the reply with this ticket.
    void submit(TimePoint now, std::uint64_t ticket, const typename Machine::Change &change)
    {
        const std::optional<LogIndex> index = m_raft.propose(now, Machine::encodeChange(change));
        if (!index) {
            m_replies.push_back({ticket, RequestStatus::NotLeader, {}});
            return;
        }
        m_pendingChanges[*index] = {ticket, m_raft.term()};
    }

    // Requests a linearizable read: once the reply with this ticket is Done, state() may be read.
    void read(TimePoint now, std::uint64_t ticket)
    {
        m_unconfirmedReads.insert(ticket);
        if (!m_raft.requestRead(now, ticket)) {
            m_unconfirmedReads.erase(ticket);
            m_replies.push_back({ticket, RequestStatus::NotLeader, {}});
        }
    }

    // Sets the data centre of a replica; voters are spread over the data centres.
    void setDataCentre(ReplicaId replica, DataCentreId dataCentre)
    {
        m_raft.setDataCentre(replica, dataCentre);
    }

    // Output to persist and then to send. After that the driver calls apply() with the same output.
    RaftOutput takeOutput()
    {
        return m_raft.takeOutput();
    }

    // Applies the committed entries; to be called once the output is persisted and synced.
    void apply(const RaftOutput &output)
    {
        if (output.snapshot) {
            restore(*output.snapshot);
        }
        for (const LogEntry &entry : output.committed) {
            applyEntry(entry);
        }
        for (const ConfirmedRead &read : output.reads) {
            m_unconfirmedReads.erase(read.ticket);
            m_confirmedReads.push_back(read);
        }
        answerReads();
    }

    // Compacts the log into a snapshot if it has grown enough; true if the driver must persist raft().snapshot().
    bool compactIfDue()
    {
        const bool many = value(m_applied) >= value(m_raft.snapshot().index) + CompactionInterval;
        if (!many && m_appliedBytes < Machine::CompactionBytes) {
            return false;
        }
        m_appliedBytes = 0;
        m_raft.compact(m_applied, m_state.serialize());
        return true;
    }

    std::vector<Reply> takeReplies()
    {
        return std::exchange(m_replies, {});
    }

    const Machine &state() const
    {
        return m_state;
    }

    const RaftCore &raft() const
    {
        return m_raft;
    }

private:
    struct PendingChange {
        std::uint64_t ticket = 0;
        Term term{};
    };

    void restore(const Snapshot &snapshot)
    {
        // The state is empty if nothing was applied before the snapshot.
        [[maybe_unused]] const bool restored = snapshot.state.empty() || m_state.restore(snapshot.state);
        assert(restored);
        m_applied = snapshot.index;
        m_appliedBytes = 0;
    }

    void applyEntry(const LogEntry &entry)
    {
        assert(value(entry.index) == value(m_applied) + 1);
        m_applied = entry.index;
        m_appliedBytes += entry.data.size();
        typename Machine::Result result{};
        if (entry.kind == EntryKind::Command) {
            result = m_state.applyCommand(entry.data);
        }
        const auto waiting = m_pendingChanges.find(entry.index);
        if (waiting != m_pendingChanges.end()) {
            const bool own = waiting->second.term == entry.term;
            m_replies.push_back({waiting->second.ticket, own ? RequestStatus::Done : RequestStatus::Unknown, result});
            m_pendingChanges.erase(waiting);
        }
    }

    void answerReads()
    {
        std::erase_if(m_confirmedReads, [this](const ConfirmedRead &read) {
            if (read.index > m_applied) {
                return false;
            }
            m_replies.push_back({read.ticket, RequestStatus::Done, {}});
            return true;
        });
    }

    // A replica that is no longer the leader can't tell whether the changes that it proposed will be committed.
    void failPendingRequests()
    {
        if (m_raft.role() == RaftRole::Leader) {
            return;
        }
        for (const auto &[index, waiting] : m_pendingChanges) {
            m_replies.push_back({waiting.ticket, RequestStatus::Unknown, {}});
        }
        m_pendingChanges.clear();
        for (const std::uint64_t ticket : m_unconfirmedReads) {
            m_replies.push_back({ticket, RequestStatus::NotLeader, {}});
        }
        m_unconfirmedReads.clear();
    }

    RaftCore m_raft;
    Machine m_state;
    LogIndex m_applied{};
    std::size_t m_appliedBytes = 0; // Size of the entries applied since the last snapshot.
    std::map<LogIndex, PendingChange> m_pendingChanges;
    std::vector<ConfirmedRead> m_confirmedReads; // Waiting until their index is applied.
    std::set<std::uint64_t> m_unconfirmedReads; // Tickets of reads that wait for the leadership check.
    std::vector<Reply> m_replies;
};

} // namespace Robinrail

// SPDX-License-Identifier: MIT
// Replica driver: connects a replicated core to its storage: persist, send, apply, compact. Shared by
// control replicas and routing replicas.
#pragma once

#include "link_message.h"
#include "metrics.h"
#include "net.h"
#include "raft_storage.h"
#include "replicated_core.h"

namespace Robinrail {

// Decision on a message from a peer.
enum class Admission : std::uint8_t {
    Admitted,
    Rejected, // It is addressed to another disk number, or comes from another cluster.
    StorageFailed, // The message would make this replica join a cluster, but the cluster id could not be persisted.
};

namespace detail {

// Writes and syncs an output; logs an error and returns false on failure.
bool persistOrLog(RaftStorage &storage, const RaftOutput &output);

// Checks the addressee and the cluster of a message. A replica that belongs to no cluster yet joins the sender's.
Admission admitOrLog(RaftStorage &storage, ReplicaKey self, const RaftEnvelope &envelope);

} // namespace detail

template<StateMachine Machine>
class ReplicaDriver
{
public:
    using Core = ReplicatedCore<Machine>;

    // Starts from the recovered state of the storage. Entries up to `committed` are known to be committed.
    ReplicaDriver(RaftStorage storage, TimePoint now, std::uint32_t seed, const RaftPolicy &policy = {}, LogIndex committed = {})
        : m_storage(std::move(storage))
        , m_core(selfOf(m_storage), recoveredState(m_storage, committed), now, seed, policy)
    {
    }

    Core &core()
    {
        return m_core;
    }

    const Core &core() const
    {
        return m_core;
    }

    ReplicaKey self() const
    {
        return selfOf(m_storage);
    }

    // Processes the pending output of the core: persists and syncs it, sends the messages, applies committed
    // entries and compacts the log if due. False on a storage failure, after which nothing may be acknowledged any more.
    template<typename Send>
    bool processOutput(Send send)
    {
        const RaftOutput output = m_core.takeOutput();
        if (output.mustSync() && !persist(output)) {
            return false;
        }
        for (const RaftSend &each : output.sends) {
            send(each);
        }
        m_core.apply(output);
        return !m_core.compactIfDue() || persist(compactionOutput());
    }

    // Duration of writes including the sync.
    const LatencyHistogram &syncTimes() const
    {
        return m_syncTimes;
    }

    // Wraps a message for sending over a link.
    RaftEnvelope makeEnvelope(const RaftSend &send) const
    {
        return {m_storage.identity().cluster, self(), send.to, encodeMessage(send.message)};
    }

    // Whether a peer's message may be handled. Not for join requests, which are addressed to any disk and
    // may come from a replica without a cluster.
    Admission admit(const RaftEnvelope &envelope)
    {
        return detail::admitOrLog(m_storage, self(), envelope);
    }

private:
    static ReplicaKey selfOf(const RaftStorage &storage)
    {
        return {storage.identity().replica, storage.identity().disk};
    }

    static PersistentRaftState recoveredState(RaftStorage &storage, LogIndex committed)
    {
        PersistentRaftState durable = storage.takePersistentState();
        durable.committed = committed;
        return durable;
    }

    bool persist(const RaftOutput &output)
    {
        const TimePoint began = monotonicNow();
        const bool works = detail::persistOrLog(m_storage, output);
        m_syncTimes.record(monotonicNow() - began);
        return works;
    }

    // Output that persists the snapshot that the core has just made and the entries after it.
    RaftOutput compactionOutput() const
    {
        RaftOutput output;
        output.snapshot = m_core.raft().snapshot();
        output.hard = m_core.raft().hardState();
        output.entries.assign(m_core.raft().log().begin(), m_core.raft().log().end());
        return output;
    }

    RaftStorage m_storage;
    Core m_core;
    LatencyHistogram m_syncTimes;
};

} // namespace Robinrail

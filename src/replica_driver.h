// SPDX-License-Identifier: MIT
// Replica driver: the loop between a replicated core and its disk: persist, send, apply, compact. Shared by
// both kinds of replica.
#pragma once

#include "link_message.h"
#include "metrics.h"
#include "net.h"
#include "raft_storage.h"
#include "replicated_core.h"

namespace Robinrail {

// What becomes of a message from a peer.
enum class Admission : std::uint8_t {
    Admitted,
    Rejected, // It is meant for another disk, or comes from another cluster.
    StorageFailed, // The cluster that it makes this replica join could not be written.
};

namespace detail {

// Writes and syncs; false with a line in the log if the disk refused.
bool persistOrLog(RaftStorage &storage, const RaftOutput &output);

// Admits a message for `self`. A replica that belongs to no cluster yet joins the sender's.
Admission admitOrLog(RaftStorage &storage, ReplicaKey self, const RaftEnvelope &envelope);

} // namespace detail

template<StateMachine Machine>
class ReplicaDriver
{
public:
    using Core = ReplicatedCore<Machine>;

    // Takes over what the storage holds. Entries up to `committed` are known to be committed.
    ReplicaDriver(RaftStorage storage, TimePoint now, std::uint32_t seed, const RaftPolicy &policy = {}, LogIndex committed = {})
        : m_storage(std::move(storage))
        , m_core(selfOf(m_storage), durableOf(m_storage, committed), now, seed, policy)
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

    // One round: what the core wants is persisted and synced, then sent, then applied. False if the disk
    // refused: nothing may be acknowledged any more.
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

    // How long writes with their syncs took.
    const LatencyHistogram &syncTimes() const
    {
        return m_syncTimes;
    }

    // A message on its way to a peer.
    RaftEnvelope makeEnvelope(const RaftSend &send) const
    {
        return {m_storage.identity().cluster, self(), send.to, encodeMessage(send.message)};
    }

    // Whether a peer's message may be handled; requests to join are for everybody and not asked about.
    Admission admit(const RaftEnvelope &envelope)
    {
        return detail::admitOrLog(m_storage, self(), envelope);
    }

private:
    static ReplicaKey selfOf(const RaftStorage &storage)
    {
        return {storage.identity().replica, storage.identity().disk};
    }

    static PersistentRaftState durableOf(RaftStorage &storage, LogIndex committed)
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

    // The snapshot that the core has just made, and the entries behind it.
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

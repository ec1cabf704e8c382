// SPDX-License-Identifier: MIT
// Replica node: calls from targets and operators.
#include "announcement_choice.h"
#include "log.h"
#include "net.h"
#include "replica_node.h"

namespace Robinrail {

// ---- Calls: targets ----

void ReplicaNode::announce(const TargetRecord &record, Respond respond)
{
    // Without storage no document is available; the services of the last one remain in force.
    if (const RoutingTable &table = document().table; table.version > m_servicesVersion) {
        m_servicesVersion = table.version;
        m_targets.setServices(table.services);
    }
    if (m_targets.lacksBirth(record)) {
        countRefusedCall("announce", "no birth, which the other targets give");
        return respond(CallOutcome::Rejected);
    }
    m_targets.announce(monotonicNow(), record, [respond = std::move(respond)](bool taken) {
        respond(taken ? CallOutcome::Done : CallOutcome::Unavailable);
    });
}

void ReplicaNode::leave(TargetKey key, std::uint64_t born, Respond respond)
{
    m_targets.leave(monotonicNow(), key, born, [respond = std::move(respond)](bool taken) {
        respond(taken ? CallOutcome::Done : CallOutcome::Unavailable);
    });
}

void ReplicaNode::countRefusedCall(std::string_view call, std::string_view reason)
{
    ++m_refusedCalls;
    if (const auto leftOut = m_refusedLogBudget.take(monotonicNow())) {
        LogLine(LogLevel::Warning, "call-refused").with("call", call).with("reason", reason).with("left-out", *leftOut);
    }
}

std::optional<Endpoint> ReplicaNode::announcementEndpoint(const TargetRecord &record) const
{
    const std::optional<ReplicaId> replica = announcementReplica(record, reachableReplicas());
    return replica ? std::optional(Endpoint{value(*replica), m_file.adminListen.port}) : std::nullopt;
}

// ---- Calls: the routing document and drains ----

void ReplicaNode::submit(const RoutingDocument &routing, Respond respond)
{
    if (!m_driver) {
        return respond(CallOutcome::Unavailable);
    }
    if (document().table.version >= routing.table.version) {
        // The local document is committed, so the answer is right at any replica, even one that lags.
        return respond(CallOutcome::Done);
    }
    propose(routing, std::move(respond));
}

// Unlike versions, drain orders can be reverted: the order may have been reverted on other replicas even if its effect
// is seen here, so it is answered only when its own log entry is committed.
void ReplicaNode::submit(const DataCentreDrainOrder &order, Respond respond)
{
    if (!m_driver) {
        return respond(CallOutcome::Unavailable);
    }
    propose(order, std::move(respond));
}

void ReplicaNode::propose(const RoutingChange &change, Respond respond)
{
    ++m_changes;
    m_pendingCalls[++m_lastTicket] = [this, began = monotonicNow(), respond = std::move(respond)](CallOutcome answer) {
        if (answer == CallOutcome::Done) {
            m_commitTimes.record(monotonicNow() - began);
        }
        respond(answer);
    };
    m_driver->core().submit(monotonicNow(), m_lastTicket, change);
    scheduleFlush();
}

void ReplicaNode::read(Respond respond)
{
    if (!m_driver) {
        return respond(CallOutcome::Unavailable);
    }
    m_pendingCalls[++m_lastTicket] = std::move(respond);
    m_driver->core().read(monotonicNow(), m_lastTicket);
    scheduleFlush();
}

} // namespace Robinrail

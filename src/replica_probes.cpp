// SPDX-License-Identifier: MIT
// Replica node: probes of targets that balancers report as unanswered.
#include "log.h"
#include "prober_choice.h"
#include "replica_node.h"

namespace Robinrail {

// A balancer reports unanswered targets to one replica, which selects the replicas that probe them: several must agree
// before a target counts as unreachable.
void ReplicaNode::onUnanswered(const NodeHello &peer, const TargetsUnanswered &list)
{
    if (peer.role == NodeRole::Replica) {
        return probe(list);
    }
    const std::size_t probers = 2 * m_file.maxLostReplicas + 1; // Enough remain after the number of losses that must be tolerated.
    const std::vector<ReplicaLocation> reachable = reachableReplicas();
    std::map<ReplicaId, TargetsUnanswered> shares;
    for (const TargetKey key : list.keys) {
        for (const ReplicaId replica : chooseProbers(key, reachable, probers)) {
            shares[replica].keys.push_back(key);
        }
    }
    for (const auto &[replica, share] : shares) {
        if (replica == m_self) {
            probe(share);
        } else {
            m_links.send(m_links.linkTo(replica), share);
        }
    }
}

void ReplicaNode::probe(const TargetsUnanswered &list)
{
    const TimePoint now = monotonicNow();
    m_targets.onUnanswered(now, list, [this, now](const ReportedTarget &target) {
        m_prober.reported(now, target);
    });
}

// This replica and those that it has a link to.
std::vector<ReplicaLocation> ReplicaNode::reachableReplicas() const
{
    std::vector<ReplicaLocation> reachable{ownPlace()};
    for (const auto &[replica, dataCentre] : m_dataCentres) {
        if (replica != m_self && m_links.linkTo(replica) != 0) {
            reachable.push_back({replica, dataCentre});
        }
    }
    return reachable;
}

void ReplicaNode::reportUnreachableTargets(TimePoint now)
{
    m_prober.tick(now);
    LifetimesUnreachable found{ownPlace(), {}};
    for (const FailedProbe &probe : m_prober.takeFailed()) {
        // The target may have begun to drain during the probe.
        if (probe.isEvidence(m_targets.isDraining(probe.lifetime.key))) {
            found.lifetimes.push_back(probe.lifetime);
        }
    }
    const std::size_t probed = found.lifetimes.size();
    for (const TargetLifetime &lifetime : m_prober.takeSuperseded()) {
        if (m_targets.isSupersededAndSilent(now, lifetime)) {
            found.lifetimes.push_back(lifetime);
        }
    }
    if (!found.lifetimes.empty()) {
        m_links.sendAll(m_links.dialled(), found);
        m_links.sendAll(m_links.acceptedFrom(NodeRole::Balancer), found);
        LogLine(LogLevel::Info, "targets-unreachable")
            .with("targets", found.lifetimes.size())
            .with("superseded", found.lifetimes.size() - probed)
            .with("first", value(found.lifetimes.front().key));
    }
}

// Passes the result of another replica on to the balancers that follow this one.
void ReplicaNode::forwardUnreachable(const LifetimesUnreachable &list)
{
    const TimePoint now = monotonicNow();
    m_stallDetector.tick(now);
    if (m_stallDetector.longStallWithin(now, StaleResultWindow)) {
        LogLine(LogLevel::Info, "stale-results-dropped").with("replica", toText(list.reporter.replica)).with("targets", list.lifetimes.size());
        return;
    }
    m_links.sendAll(m_links.acceptedFrom(NodeRole::Balancer), list);
}

} // namespace Robinrail

// SPDX-License-Identifier: MIT
// Steering targets: a balancer's view of all targets, from replicas' reports and from its own packets.
#pragma once

#include "flow_packet.h"
#include "routing_table.h"
#include "target_record.h"

#include <boost/unordered/unordered_flat_map.hpp>

#include <map>
#include <optional>
#include <set>
#include <span>

namespace Robinrail {

// How long a target that did not answer gets no new flows: at first, and at most, as the time doubles with each further
// failure. Each new attempt on a dead target that does not count as gone costs one caller up to 600 ms: the first
// retransmission of its opening packet triggers the probes, and the second one goes to another target.
inline constexpr Duration InitialSuspicion = std::chrono::seconds(1);
inline constexpr Duration MaxSuspicion = std::chrono::seconds(8);

// How long a target counts as gone after enough replicas failed to connect to it, unless a sign of life ends it. Flows of
// balancers that failed together with the target arrive here with their next retransmission, 0.2 to 1.6 s apart.
inline constexpr Duration GoneDuration = std::chrono::seconds(2);

struct SteeredTarget {
    TargetRecord record;
    FlowToken token{};
    std::set<ReplicaId> reportedAliveBy;
    TimePoint warmupEnd;
    TimePoint suspectUntil;
    Duration suspicion{}; // Length of the last suspicion; 0 after a sign of life.
    TimePoint lastAlive; // Last sign of life in this balancer's own packets.
    TimePoint leftAt; // When this balancer learned that it had left.
    TimePoint goneUntil; // Before this, data packets of its flows are answered with resets.
    bool resetPending = false; // Its open flows are still to be reset.
    bool tokenCollision = false; // A target known earlier has the same token; this one gets no flows.
    std::uint32_t flows = 0; // Flows through this balancer.
    std::uint32_t busy = 0; // Those of them with a request in progress.

    bool isSuspect(TimePoint now) const
    {
        return now < suspectUntil;
    }

    bool isGone(TimePoint now) const
    {
        return now < goneUntil;
    }
};

// Targets of a service, without those that left.
struct ServiceTargets {
    std::vector<SteeredTarget *> targets; // Sorted by token, so in the same order at every balancer.
    std::uint64_t revision = 0; // Increases whenever a report or an event may change which of them get new flows.
};

class SteeringTargets
{
public:
    // Applies a replica's report on a target.
    void take(TimePoint now, ReplicaId replica, const TargetStatus &status);

    // Withdraws all reports of a replica that can't be reached. `othersLeft`: whether other replicas can; if not, the view is
    // kept.
    void dropReplicaReports(ReplicaId replica, bool othersLeft);

    // Withdraws this replica's reports on all targets that its complete directory does not list.
    void withdrawReportsExcept(ReplicaId replica, const std::set<TargetKey> &listed);

    // From now on only this replica decides which targets are alive.
    void setSource(ReplicaId replica);

    // Whether the source reports a target as alive; without a source, whether any replica does.
    bool reportedAlive(const SteeredTarget &target) const;

    // Targets of a data centre count as warming up at least until this time, whatever they announce.
    void startWarmup(DataCentreId dataCentre, TimePoint until);

    // Removes targets that left or have been silent for longer than flows live.
    void tick(TimePoint now);

    // Records that a target did not answer; that it showed a sign of life.
    void markSuspect(TimePoint now, SteeredTarget &target);
    void markAlive(TimePoint now, SteeredTarget &target);

    // Marks a target as gone unless it showed a sign of life through this balancer within RecentActivityWindow; returns whether it was marked.
    bool declareGone(TimePoint now, const TargetLifetime &lifetime);

    // Whether flows of any target are still to be reset; clears that once they were.
    bool anyResetPending() const;
    void clearResetPending();

    // The target of a token, or null.
    SteeredTarget *find(FlowToken token);

    // Targets of a service, without those that left.
    std::span<SteeredTarget *const> ofService(const std::string &service) const;

    // The same with their revision. The reference stays valid; the revision does not change when a time passes.
    const ServiceTargets &service(const std::string &name);

    std::size_t size() const;

    // Calls visit(target) for each known target, also for those that left.
    template<typename Visit>
    void forEach(Visit visit) const
    {
        for (const auto &[key, target] : m_targets) {
            visit(target);
        }
    }

    // The token of a target's lifetime: its key hashed to 32 bits, so that all balancers derive the same one.
    static FlowToken tokenOf(TargetKey key);

private:
    void add(SteeredTarget &target);
    void remove(SteeredTarget &target);
    void noteChange(const SteeredTarget &target);
    void withdrawReport(ReplicaId replica, SteeredTarget &target);

    std::map<TargetKey, SteeredTarget> m_targets;
    std::optional<ReplicaId> m_source;
    std::vector<TargetKey> m_resetPending; // Targets marked as gone whose flows are still to be reset.
    boost::unordered_flat_map<std::uint32_t, SteeredTarget *> m_tokens;
    std::map<std::string, ServiceTargets> m_services;
};

} // namespace Robinrail

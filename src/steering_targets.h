// SPDX-License-Identifier: MIT
// Steering targets: a balancer's view of all targets, with what it saw of each itself.
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

// How long a target that did not answer is left out of new choices: at first, and at most after more of the
// same. A trial costs one caller 200 ms, the pause before it sends its opening packet again.
inline constexpr Duration InitialSuspicion = std::chrono::seconds(1);
inline constexpr Duration MaxSuspicion = std::chrono::seconds(8);

// How long a target counts as gone after enough replicas tried in vain to connect to it, unless it shows life. Its flows
// come here from balancers that went down with it, each with its data's next repetition, 0.2 to 1.6 s apart.
inline constexpr Duration GoneDuration = std::chrono::seconds(2);

struct SteeredTarget {
    TargetRecord record;
    FlowToken token{};
    std::set<ReplicaId> reportedAliveBy; // Replicas that say that it is alive.
    TimePoint warmupEnd; // Slow before this.
    TimePoint suspectUntil;
    Duration suspicion{}; // The last one's length; 0 after a sign of life.
    TimePoint lastAlive; // Last sign of life that passed through here.
    TimePoint leftAt; // When its end was learnt.
    TimePoint goneUntil; // Data of its flows is answered with resets before this.
    bool resetPending = false; // Its flows are to be reset now.
    bool tokenCollision = false; // An older target has the same token: it gets no flows.
    std::uint32_t flows = 0; // Open flows that pass through here.
    std::uint32_t busy = 0; // Flows of those with a request under way.

    bool suspect(TimePoint now) const
    {
        return now < suspectUntil;
    }

    bool gone(TimePoint now) const
    {
        return now < goneUntil;
    }
};

class SteeringTargets
{
public:
    // Takes one replica's news of a target.
    void take(TimePoint now, ReplicaId replica, const TargetStatus &news);

    // A replica can't be heard any more; it vouches for nobody. Without any other replica the view is kept.
    void dropReplicaReports(ReplicaId replica, bool others);

    // All that this replica knows has been told; it vouches for these targets and no others.
    void withdrawReportsExcept(ReplicaId replica, const std::set<TargetKey> &told);

    // From now on only this replica's word on who is alive holds.
    void setSource(ReplicaId replica);

    // Whether a target is said to be alive: by the source, or by any replica as long as there is none.
    bool reportedAlive(const SteeredTarget &target) const;

    // All targets of a data centre are slow until this moment, whatever they announced.
    void startWarmup(DataCentreId dataCentre, TimePoint until);

    // Leaves out targets that left or were silent for longer than flows live.
    void tick(TimePoint now);

    // Holds a failure to answer against a target, or clears it.
    void suspect(TimePoint now, SteeredTarget &target);
    void markAlive(TimePoint now, SteeredTarget &target);

    // Takes a target for gone, unless it showed life through here of late. Whether it is.
    bool declareGone(TimePoint now, TargetKey key);

    // Whether there are targets whose flows are to be reset, and that they were.
    bool anyResetPending() const;
    void clearResetPending();

    // The target behind a token; null if it is not known.
    SteeredTarget *find(FlowToken token);

    // All targets of a service that have not left.
    std::span<SteeredTarget *const> ofService(const std::string &service) const;

    std::size_t size() const;

    // The token of a lifetime: its number hashed to 32 bits, so that all balancers agree without a word.
    static FlowToken tokenOf(TargetKey key);

private:
    void add(SteeredTarget &target);
    void remove(SteeredTarget &target);

    std::map<TargetKey, SteeredTarget> m_targets;
    std::optional<ReplicaId> m_source;
    std::vector<TargetKey> m_resetPending; // Targets that were taken for gone, until their flows are reset.
    boost::unordered_flat_map<std::uint32_t, SteeredTarget *> m_tokens;
    std::map<std::string, std::vector<SteeredTarget *>> m_services;
};

} // namespace Robinrail

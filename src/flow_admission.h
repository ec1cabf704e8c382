// SPDX-License-Identifier: MIT
// Flow admission: asks admission control about new flows, in the terms of the routing table and the targets in force.
#pragma once

#include "admission_control.h"
#include "target_record.h"

#include <boost/unordered/unordered_flat_map.hpp>

#include <map>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace Robinrail {

// New flows by what became of them. Flows that were admitted and then found no target count as admitted.
struct AdmissionCounts {
    std::uint64_t admitted = 0;
    std::uint64_t refusedByPools = 0;
    std::uint64_t refusedByLink = 0;
};

class FlowAdmission
{
public:
    // `linkBytesPerSecond`: capacity of the balancer's link in each direction, 0 if it is not known.
    FlowAdmission(DataCentreId own, double linkBytesPerSecond);

    // The services of the table in force. Pools are identified by the index of their service, so they start again when the
    // services change.
    void setServices(std::span<const std::string> services);

    // Name of a service by its index; empty if there is none.
    std::string serviceName(std::uint16_t service) const;

    // Decides on a new flow of this caller. `findUsable` returns the data centres with targets of the service that may get new
    // flows; it is called once per service and tick, as the answer is needed for each new flow, also for those that are refused.
    template<typename FindUsable>
    AdmissionDecision decide(TimePoint now, std::uint16_t service, const RequestObjective &objective, Endpoint caller, FindUsable findUsable)
    {
        UsableDataCentres &usable = m_usableDataCentres[service];
        if (!std::exchange(usable.known, true)) {
            const std::span<const DataCentreId> found = findUsable();
            usable.list.assign(found.begin(), found.end());
        }
        const AdmissionDecision decision = m_control.decide(now, service, objective, callerHash(caller), usable.list);
        count(service, objective.priority, decision.verdict);
        return decision;
    }

    // The targets that may get new flows have changed.
    void forgetUsable();

    // A request was answered by this target.
    void recordAnswer(TimePoint now, const TargetRecord &target, Duration answerTime);

    void recordBytes(std::size_t received, std::size_t sent);

    void tick(TimePoint now);

    const AdmissionControl &control() const;

    // By service and priority; priorities beyond MaxPriority count as that one. Services keep their counts in a new table.
    using CountKey = std::pair<std::uint16_t, std::uint8_t>;
    const std::map<CountKey, AdmissionCounts> &counts() const;

private:
    struct UsableDataCentres {
        bool known = false; // Until the next tick.
        std::vector<DataCentreId> list;
    };

    void count(std::uint16_t service, std::uint8_t priority, AdmissionVerdict verdict);
    static std::uint64_t callerHash(Endpoint caller);

    AdmissionControl m_control;
    std::map<CountKey, AdmissionCounts> m_counts;
    std::vector<std::string> m_services;
    boost::unordered_flat_map<std::string, std::uint16_t> m_serviceIndices;
    boost::unordered_flat_map<std::uint16_t, UsableDataCentres> m_usableDataCentres; // By service.
};

} // namespace Robinrail

// SPDX-License-Identifier: MIT
// Admission control: decides which new flows a steering balancer admits while targets or its own link are overloaded, as a
// state machine without I/O.
//
// Each balancer decides alone, from the answer times of its own flows: all balancers of a data centre share the same targets,
// so all measure the same queues. Related: DAGOR (Zhou et al., SoCC 2018) for admission by priority and by a hash of the caller;
// the gradient of the answer time as in TCP Vegas (Brakmo and Peterson, 1995).
#pragma once

#include "link_load.h"
#include "pool_admission.h"
#include "routing_table.h"

#include <map>
#include <span>
#include <utility>
#include <vector>

namespace Robinrail {

// A pool is overloaded when its mean answer time is this many times the usual one of its service. A target with a queue of some
// requests per slot then has about half of its queue in use: its slots do not run empty, and few requests are shed.
inline constexpr double OverloadedAnswerFactor = 3;

// The same for targets in another data centre, so that its own callers come first.
inline constexpr double RemoteOverloadedAnswerFactor = 2;

// Part of the latency objective that the mean answer time may take, unless that is less than RemoteOverloadedAnswerFactor times the
// usual one: a service whose usual answer takes a quarter of its objective was refused without any overload. The rest is left for
// the opening and for a slower than average answer.
inline constexpr double MaxObjectiveShare = 0.25;

// The same while the usual answer time is not known.
inline constexpr double UnknownObjectiveShare = 1.0 / 3;

// Pools that have not been used for this long are forgotten.
inline constexpr Duration PoolRetention = std::chrono::seconds(60);

enum class AdmissionVerdict : std::uint8_t {
    Anywhere, // No limit applies: choose among all targets as without admission control.
    DataCentre, // Choose among the targets of this data centre only.
    RefusedByPools, // The targets that may be used can take no more.
    RefusedByLink, // The own link is full.
};

struct AdmissionDecision {
    AdmissionVerdict verdict = AdmissionVerdict::Anywhere;
    DataCentreId dataCentre{}; // DataCentre only.
};

// Identifies the targets of a service in a data centre. Services are named by their index in the routing table in force.
struct PoolKey {
    std::uint16_t service = 0;
    DataCentreId dataCentre{};

    auto operator<=>(const PoolKey &) const = default;
};

class AdmissionControl
{
public:
    // `linkBytesPerSecond`: capacity of the own link, 0 if it is not known.
    AdmissionControl(DataCentreId own, double linkBytesPerSecond);

    // Forgets all pools: the services of the routing table have changed.
    void reset();

    // Decides on a new flow. `usable`: the data centres with targets of the service that may get new flows, the own one among
    // them if it has any. Refuses no flow whose objective has no latency.
    AdmissionDecision
    decide(TimePoint now, std::uint16_t service, const RequestObjective &objective, std::uint64_t callerHash, std::span<const DataCentreId> usable);

    // A request was answered by a target of this pool.
    void recordAnswer(TimePoint now, PoolKey pool, Duration answerTime);

    void recordBytes(std::size_t received, std::size_t sent);

    void tick(TimePoint now);

    // Usual answer time of a service: what it takes while nothing waits; 0 if it is not known.
    Duration usualAnswerTime(std::uint16_t service) const;

    const std::map<PoolKey, PoolAdmission> &pools() const;
    const LinkLoad &link() const;

private:
    struct ServiceState {
        UsualAnswerTime usual;
        Duration smallestLatency{}; // Smallest latency objective of the requests of this period; 0: none.
        Duration previousLatency{}; // The same of the period before.
        TimePoint periodStart;
    };

    PoolAdmission &pool(PoolKey key);
    AnswerTimes answerTimes(PoolKey key) const;
    void noteLatency(TimePoint now, std::uint16_t service, Duration latency);
    // Sorts the usable data centres but the own one by the caller's hash into m_order.
    void orderOthers(std::uint64_t callerHash, std::span<const DataCentreId> usable);
    AdmissionDecision chooseAmong(TimePoint now, std::uint16_t service, const AdmissionRequest &request, std::span<const DataCentreId> usable);
    AdmissionDecision chooseOverflow(TimePoint now, std::uint16_t service, const AdmissionRequest &request, const PoolAdmission &home);
    AdmissionDecision chooseElsewhere(TimePoint now, std::uint16_t service, const AdmissionRequest &request);

    DataCentreId m_own;
    LinkLoad m_link;
    std::map<PoolKey, PoolAdmission> m_pools;
    std::map<std::uint16_t, ServiceState> m_services;
    std::vector<std::pair<std::uint64_t, DataCentreId>> m_order; // Of the pools for one flow; kept for its memory.
};

} // namespace Robinrail

// SPDX-License-Identifier: MIT
// Target candidates: prepared lists of the targets of each service that may get a new flow, those most likely to answer.
//
// A list is rebuilt when it is needed for the first time after a change of the service's targets, of the routes or of the
// drained data centres, or after a time that it depends on has passed: the end of a warm-up, a suspicion or a probe result.
#pragma once

#include "steering_routes.h"
#include "steering_targets.h"

#include <optional>
#include <span>
#include <vector>

namespace Robinrail {

// How likely a target is to answer, in the order in which targets are chosen.
enum class TargetHealth : std::uint8_t {
    Healthy,
    Suspect,
    Silent,
    Gone,
};

// Suspicion alone excludes at most 1 / SuspectShare of a service's usable targets in a data centre from new flows, as Envoy's
// panic threshold does. At a usual slot utilization of 20 to 50%, the other half can carry twice its load and no more.
inline constexpr std::size_t SuspectShare = 2;

// The targets among which the target of a new flow is selected, sorted by token. Valid until the targets change.
struct TargetChoices {
    std::span<SteeredTarget *const> local; // In the balancer's own data centre.
    std::span<SteeredTarget *const> remote;

    bool empty() const
    {
        return local.empty() && remote.empty();
    }
};

class TargetCandidates
{
public:
    explicit TargetCandidates(DataCentreId own);

    // The targets of a service that may get new flows, of the best health that any of them has; those of one data centre if
    // `only` is set.
    TargetChoices choices(TimePoint now, SteeringTargets &targets, const SteeringRoutes &routes, std::uint16_t service, std::optional<DataCentreId> only = {});

    // The data centres with targets of a service that may get new flows and that are reported as alive.
    std::span<const DataCentreId> usableDataCentres(TimePoint now, SteeringTargets &targets, const SteeringRoutes &routes, std::uint16_t service);

    // How often a list was rebuilt.
    std::uint64_t rebuilds() const;

    // Whether a target may get new flows, apart from its warm-up.
    static bool acceptsNewFlows(const SteeredTarget &target, const SteeringRoutes &routes);

    // Whether a flow of a route may open at the target to which an earlier copy of its opening packet was forwarded. The routing
    // table and the drained data centres in force decide, not those of that time. A target that drains still takes these packets.
    static bool mayOpenAt(TimePoint now, const SteeredTarget &target, const Route &route, const SteeringRoutes &routes);

private:
    struct Entry {
        SteeredTarget *target = nullptr;
        TargetHealth health = TargetHealth::Gone;
        std::size_t dataCentre = 0; // Index in Service::dataCentres.
    };

    struct DataCentre {
        DataCentreId id{};
        TargetHealth best = TargetHealth::Gone;
        bool usable = false; // Whether a target that may get new flows is reported as alive.
        std::vector<SteeredTarget *> targets; // Those of the best health.
    };

    struct Service {
        const ServiceTargets *source = nullptr; // Null before the first use.
        std::uint64_t targetRevision = 0;
        std::uint64_t routeRevision = 0;
        TimePoint validUntil;
        std::vector<DataCentre> dataCentres;
        std::vector<DataCentreId> usable; // The data centres that are usable.
        bool localBest = false; // Whether the own data centre has targets of the service's best health.
        std::vector<SteeredTarget *> remote; // Those of the service's best health elsewhere.
    };

    const Service &current(TimePoint now, SteeringTargets &targets, const SteeringRoutes &routes, std::uint16_t service);
    void rebuild(TimePoint now, const SteeringTargets &targets, const SteeringRoutes &routes, bool warmupLimited, Service &service);
    void classify(TimePoint now, const SteeringTargets &targets, SteeredTarget &target, Service &service);
    void limitSuspicion(std::size_t dataCentre);
    void select(Service &service) const;
    static TargetHealth healthOf(TimePoint now, bool alive, const SteeredTarget &target);
    static std::size_t indexOf(Service &service, DataCentreId id);

    DataCentreId m_own;
    std::vector<Service> m_services; // By index in the routing table.
    std::vector<Entry> m_entries; // Of the service that is being rebuilt.
    std::uint64_t m_rebuilds = 0;
};

} // namespace Robinrail

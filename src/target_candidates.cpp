// SPDX-License-Identifier: MIT
// Target candidates: implementation.
#include "target_candidates.h"

#include <algorithm>
#include <utility>

namespace Robinrail {

TargetCandidates::TargetCandidates(DataCentreId own)
    : m_own(own)
{
}

TargetChoices
TargetCandidates::choices(TimePoint now, SteeringTargets &targets, const SteeringRoutes &routes, std::uint16_t service, std::optional<DataCentreId> only)
{
    const Service &prepared = current(now, targets, routes, service);
    const auto at = std::ranges::find(prepared.dataCentres, only.value_or(m_own), &DataCentre::id);
    const std::span<SteeredTarget *const> found = at != prepared.dataCentres.end() ? std::span<SteeredTarget *const>(at->targets)
                                                                                   : std::span<SteeredTarget *const>();
    if (only) {
        return *only == m_own ? TargetChoices{found, {}} : TargetChoices{{}, found};
    }
    return {prepared.localBest ? found : std::span<SteeredTarget *const>(), prepared.remote};
}

std::span<const DataCentreId> TargetCandidates::usableDataCentres(TimePoint now, SteeringTargets &targets, const SteeringRoutes &routes, std::uint16_t service)
{
    return current(now, targets, routes, service).usable;
}

std::uint64_t TargetCandidates::rebuilds() const
{
    return m_rebuilds;
}

bool TargetCandidates::acceptsNewFlows(const SteeredTarget &target, const SteeringRoutes &routes)
{
    return target.record.phase == TargetPhase::Serving && !target.tokenCollision && !routes.isDrained(target.record.dataCentre);
}

bool TargetCandidates::mayOpenAt(TimePoint now, const SteeredTarget &target, const Route &route, const SteeringRoutes &routes)
{
    if (!target.record.isCurrent() || routes.isDrained(target.record.dataCentre)) {
        return false;
    }
    const RoutingTable &table = routes.table();
    return std::ranges::any_of(route.services, [&](const WeightedService &each) {
        const bool cold = table.warmupOf(each.service).limited && now < target.warmupEnd;
        return each.weight > 0 && !cold && table.services[each.service] == target.record.service;
    });
}

// ---- Preparation ----

const TargetCandidates::Service &TargetCandidates::current(TimePoint now, SteeringTargets &targets, const SteeringRoutes &routes, std::uint16_t service)
{
    if (service >= m_services.size()) {
        m_services.resize(routes.table().services.size());
    }
    Service &prepared = m_services[service];
    const bool routesCurrent = prepared.source != nullptr && prepared.routeRevision == routes.revision();
    if (!routesCurrent || prepared.targetRevision != prepared.source->revision || now >= prepared.validUntil) {
        prepared.source = &targets.service(routes.table().services[service]);
        rebuild(now, targets, routes, routes.table().warmupOf(service).limited, prepared);
    }
    return prepared;
}

void TargetCandidates::rebuild(TimePoint now, const SteeringTargets &targets, const SteeringRoutes &routes, bool warmupLimited, Service &service)
{
    ++m_rebuilds;
    service.targetRevision = service.source->revision;
    service.routeRevision = routes.revision();
    service.validUntil = TimePoint::max();
    service.dataCentres.clear();
    m_entries.clear();
    for (SteeredTarget *target : service.source->targets) {
        const bool cold = warmupLimited && now < target->warmupEnd;
        if (cold) {
            service.validUntil = std::min(service.validUntil, target->warmupEnd);
        }
        if (!cold && acceptsNewFlows(*target, routes)) {
            classify(now, targets, *target, service);
        }
    }
    for (std::size_t i = 0; i < service.dataCentres.size(); ++i) {
        limitSuspicion(i);
    }
    select(service);
}

void TargetCandidates::classify(TimePoint now, const SteeringTargets &targets, SteeredTarget &target, Service &service)
{
    for (const TimePoint end : {target.goneUntil, target.suspectUntil}) {
        if (now < end) {
            service.validUntil = std::min(service.validUntil, end);
        }
    }
    const bool alive = targets.reportedAlive(target);
    m_entries.push_back({&target, healthOf(now, alive, target), indexOf(service, target.record.dataCentre)});
    DataCentre &dataCentre = service.dataCentres[m_entries.back().dataCentre];
    dataCentre.usable = dataCentre.usable || alive;
}

TargetHealth TargetCandidates::healthOf(TimePoint now, bool alive, const SteeredTarget &target)
{
    if (target.isGone(now)) {
        return TargetHealth::Gone;
    }
    if (!alive) {
        return TargetHealth::Silent;
    }
    return target.isSuspect(now) ? TargetHealth::Suspect : TargetHealth::Healthy;
}

// Counts those suspects whose suspicion ends first as healthy, as long as there are too many in a data centre.
void TargetCandidates::limitSuspicion(std::size_t dataCentre)
{
    std::vector<Entry *> suspects;
    std::size_t usable = 0;
    for (Entry &entry : m_entries) {
        if (entry.dataCentre != dataCentre || entry.health > TargetHealth::Suspect) {
            continue;
        }
        ++usable;
        if (entry.health == TargetHealth::Suspect) {
            suspects.push_back(&entry);
        }
    }
    const std::size_t count = suspects.size();
    const std::size_t excess = count - std::min(count, usable / SuspectShare);
    std::ranges::sort(suspects, {}, [](const Entry *entry) {
        return std::pair(entry->target->suspectUntil, entry->target->record.key);
    });
    for (Entry *entry : std::span(suspects).first(excess)) {
        entry->health = TargetHealth::Healthy;
    }
}

// Lists the targets of the best health of each data centre, and those of the best health of all.
void TargetCandidates::select(Service &service) const
{
    TargetHealth best = TargetHealth::Gone;
    for (const Entry &entry : m_entries) {
        DataCentre &dataCentre = service.dataCentres[entry.dataCentre];
        dataCentre.best = std::min(dataCentre.best, entry.health);
        best = std::min(best, entry.health);
    }
    service.localBest = false;
    service.remote.clear();
    for (const Entry &entry : m_entries) {
        DataCentre &dataCentre = service.dataCentres[entry.dataCentre];
        if (entry.health != dataCentre.best) {
            continue;
        }
        dataCentre.targets.push_back(entry.target);
        if (dataCentre.id == m_own) {
            service.localBest = entry.health == best;
        } else if (entry.health == best) {
            service.remote.push_back(entry.target);
        }
    }
    service.usable.clear();
    for (const DataCentre &dataCentre : service.dataCentres) {
        if (dataCentre.usable) {
            service.usable.push_back(dataCentre.id);
        }
    }
}

std::size_t TargetCandidates::indexOf(Service &service, DataCentreId id)
{
    const auto at = std::ranges::find(service.dataCentres, id, &DataCentre::id);
    const auto index = static_cast<std::size_t>(at - service.dataCentres.begin());
    if (index == service.dataCentres.size()) {
        service.dataCentres.push_back({id, TargetHealth::Gone, false, {}});
    }
    return index;
}

} // namespace Robinrail

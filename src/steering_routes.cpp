// SPDX-License-Identifier: MIT
// Steering routes: implementation.
#include "steering_routes.h"

#include "hash.h"

#include "target_directory.h"

#include <algorithm>
#include <utility>

namespace Robinrail {

namespace {

std::uint64_t packed(Endpoint endpoint)
{
    return std::uint64_t{endpoint.address} << 16U | endpoint.port;
}

} // namespace

bool SteeringRoutes::apply(const RoutingTable &table)
{
    if (table.version <= m_table.version) {
        return false;
    }
    for (const auto &[address, route] : m_routes) {
        m_removed.try_emplace(address);
    }
    ++m_revision;
    m_table = table;
    m_routes.clear();
    for (const Route &route : m_table.routes) {
        m_routes[packed(route.address)] = &route;
        m_removed.erase(packed(route.address));
    }
    return true;
}

const RoutingTable &SteeringRoutes::table() const
{
    return m_table;
}

const Route *SteeringRoutes::find(Endpoint address) const
{
    const auto found = m_routes.find(packed(address));
    return found != m_routes.end() ? found->second : nullptr;
}

bool SteeringRoutes::wasRemoved(Endpoint address) const
{
    return m_removed.contains(packed(address));
}

std::size_t SteeringRoutes::removedRoutes() const
{
    return m_removed.size();
}

std::vector<DataCentreId> SteeringRoutes::setDrained(std::span<const DataCentreId> drained)
{
    std::vector<DataCentreId> undrained;
    const std::set<DataCentreId> before = std::exchange(m_drained, {drained.begin(), drained.end()});
    m_revision += before != m_drained ? 1 : 0;
    std::set_difference(before.begin(), before.end(), m_drained.begin(), m_drained.end(), std::back_inserter(undrained));
    return undrained;
}

bool SteeringRoutes::isDrained(DataCentreId dataCentre) const
{
    return !m_drained.empty() && m_drained.contains(dataCentre);
}

std::uint64_t SteeringRoutes::revision() const
{
    return m_revision;
}

Duration SteeringRoutes::longestWarmup() const
{
    Duration longest = DefaultWarmup;
    for (const ServiceWarmup &warmup : m_table.warmups) {
        longest = std::max(longest, warmup.duration);
    }
    return longest;
}

// Packets of flows on a removed route are answered with resets. These flows live no longer than LeftTargetRetention, the time for
// which targets that left are remembered.
void SteeringRoutes::tick(TimePoint now)
{
    boost::unordered::erase_if(m_removed, [now](auto &each) {
        TimePoint &seen = each.second;
        if (seen == TimePoint{}) {
            seen = now;
        }
        return now - seen >= LeftTargetRetention;
    });
}

std::uint16_t serviceOf(const Route &route, std::uint64_t flowHash)
{
    std::uint64_t total = 0;
    for (const WeightedService &service : route.services) {
        total += service.weight;
    }
    std::uint64_t point = total > 0 ? hashPair(flowHash, total) % total : 0;
    for (const WeightedService &service : route.services) {
        if (point < service.weight) {
            return service.service;
        }
        point -= service.weight;
    }
    return route.services.front().service;
}

} // namespace Robinrail

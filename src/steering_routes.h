// SPDX-License-Identifier: MIT
// Steering routes: a balancer's routing table in force, the routes that were removed recently, and the drained data
// centres.
#pragma once

#include "routing_table.h"

#include <boost/unordered/unordered_flat_map.hpp>

#include <set>
#include <span>

namespace Robinrail {

// Least warm-up time of targets in a data centre whose drain ends; the routing table may give more. After an idle time,
// targets of an interactive service have cold caches for about that long.
inline constexpr Duration DefaultWarmup = std::chrono::seconds(2);

class SteeringRoutes
{
public:
    // Puts a table in force if it is newer than the present one; returns whether it was.
    bool apply(const RoutingTable &table);

    const RoutingTable &table() const;

    // The route at an address, or null.
    const Route *find(Endpoint address) const;

    // Whether the route at an address was removed, until tick() forgets it.
    bool wasRemoved(Endpoint address) const;
    std::size_t removedRoutes() const;

    // Replaces the set of data centres that get no new flows. Returns those whose drain ended.
    std::vector<DataCentreId> setDrained(std::span<const DataCentreId> drained);
    bool isDrained(DataCentreId dataCentre) const;

    // Increases whenever the table in force or the set of drained data centres changes.
    std::uint64_t revision() const;

    // Warm-up time of the service whose targets warm up longest.
    Duration longestWarmup() const;

    // Forgets removed routes once none of their flows can be alive.
    void tick(TimePoint now);

private:
    RoutingTable m_table;
    boost::unordered_flat_map<std::uint64_t, const Route *> m_routes; // By address; points into m_table.
    boost::unordered_flat_map<std::uint64_t, TimePoint> m_removed; // By address; time of the first tick after the removal.
    std::set<DataCentreId> m_drained;
    std::uint64_t m_revision = 0;
};

// The service of a new flow: distributes flows by weight using the flow's hash, so that all copies of an opening packet get the same
// service.
std::uint16_t serviceOf(const Route &route, std::uint64_t flowHash);

} // namespace Robinrail

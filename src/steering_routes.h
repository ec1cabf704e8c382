// SPDX-License-Identifier: MIT
// Steering routes: what a balancer holds of the routing table in force, the routes that were removed of late, and the data
// centres that are drained.
#pragma once

#include "routing_table.h"

#include <boost/unordered/unordered_flat_map.hpp>

#include <set>
#include <span>

namespace Robinrail {

// How long targets of a data centre that is taken back are slow at least, unless the routing table gives more. Targets of
// an interactive service that have rested have cold caches for about that long.
inline constexpr Duration DefaultWarmup = std::chrono::seconds(2);

class SteeringRoutes
{
public:
    // Puts a table in force; an older one than the present is ignored. Whether it was taken.
    bool apply(const RoutingTable &table);

    const RoutingTable &table() const;

    // The route at an address; null without one.
    const Route *find(Endpoint address) const;

    // Whether a route was there and was removed; for how long that is remembered is up to tick().
    bool wasRemoved(Endpoint address) const;
    std::size_t removedRoutes() const;

    // From now on these data centres get no new flows, and no others. Those that get some again.
    std::vector<DataCentreId> setDrained(std::span<const DataCentreId> drained);
    bool isDrained(DataCentreId dataCentre) const;

    // How long the slowest service's targets warm up.
    Duration longestWarmup() const;

    // Forgets removed routes whose flows can't live any more.
    void tick(TimePoint now);

private:
    RoutingTable m_table;
    boost::unordered_flat_map<std::uint64_t, const Route *> m_routes; // By address; into m_table.
    boost::unordered_flat_map<std::uint64_t, TimePoint> m_removed; // By address; when the next tick saw that.
    std::set<DataCentreId> m_drained;
};

} // namespace Robinrail

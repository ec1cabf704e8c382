// SPDX-License-Identifier: MIT
// Routing table: the addresses that callers use, and the services behind them.
#pragma once

#include "types.h"

#include <string>
#include <tuple>
#include <vector>

namespace Robinrail {

// A service of a route, by its position in the table, with its share of new flows.
struct WeightedService {
    std::uint16_t service = 0;
    std::uint32_t weight = 1;

    bool operator==(const WeightedService &) const = default;

    auto fields()
    {
        return std::tie(service, weight);
    }
};

// New flows to an address are divided among its services by weight.
struct Route {
    Endpoint address;
    std::vector<WeightedService> services;

    bool operator==(const Route &) const = default;

    auto fields()
    {
        return std::tie(address, services);
    }
};

// How the targets of a service behave after their start.
struct ServiceWarmup {
    Duration duration{}; // How long they are slow; 0: not told.
    bool limited = false; // Meanwhile they bear only so many requests a second, from all balancers together.

    bool operator==(const ServiceWarmup &) const = default;

    auto fields()
    {
        return std::tie(duration, limited);
    }
};

struct RoutingTable {
    std::uint64_t version = 0; // 0: none.
    Duration idleTimeout{}; // A flow that rested for so long may be forgotten.
    std::vector<std::string> services;
    std::vector<Route> routes;
    std::vector<ServiceWarmup> warmups; // By service; shorter if the last ones told nothing.

    static constexpr std::size_t OldestFields = 4;

    bool operator==(const RoutingTable &) const = default;

    auto fields()
    {
        return std::tie(version, idleTimeout, services, routes, warmups);
    }

    ServiceWarmup warmupOf(std::uint16_t service) const
    {
        return service < warmups.size() ? warmups[service] : ServiceWarmup{};
    }
};

// Most services and routes of a table; what is larger is refused.
inline constexpr std::size_t MaxServices = 10'000;
inline constexpr std::size_t MaxRoutes = 50'000;

} // namespace Robinrail

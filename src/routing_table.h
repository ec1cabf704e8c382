// SPDX-License-Identifier: MIT
// Routing table: maps the addresses that callers use to services.
#pragma once

#include "types.h"

#include <algorithm>
#include <string>
#include <tuple>
#include <vector>

namespace Robinrail {

// A service of a route, by its index in RoutingTable::services, with its weight for new flows.
struct WeightedService {
    std::uint16_t service = 0;
    std::uint32_t weight = 1;

    bool operator==(const WeightedService &) const = default;

    auto fields()
    {
        return std::tie(service, weight);
    }
};

// An address and the services among which its new flows are distributed by weight.
struct Route {
    Endpoint address;
    std::vector<WeightedService> services;

    bool operator==(const Route &) const = default;

    auto fields()
    {
        return std::tie(address, services);
    }
};

// Warm-up of the targets of a service after their start.
struct ServiceWarmup {
    Duration duration{}; // How long the targets are slow; 0: not specified.
    bool limited = false; // During the warm-up they can serve only a limited rate of requests, from all balancers together.

    bool operator==(const ServiceWarmup &) const = default;

    auto fields()
    {
        return std::tie(duration, limited);
    }
};

// What the requests of a route need, for admission control. Zeros: not specified.
struct RequestObjective {
    std::uint8_t priority = 0; // 0 is the most urgent.
    Duration latency{}; // Objective, from the caller's first attempt to the whole answer.
    Duration timeout{};

    bool operator==(const RequestObjective &) const = default;

    auto fields()
    {
        return std::tie(priority, latency, timeout);
    }
};

// Limits of a table; larger ones are rejected.
inline constexpr std::size_t MaxServices = 10'000;
inline constexpr std::size_t MaxRoutes = 50'000;

// Longest time in a table, a year. A longer one could overflow a time point.
inline constexpr Duration MaxTableTime = std::chrono::hours(24 * 365);

struct RoutingTable {
    std::uint64_t version = 0; // 0: none.
    Duration idleTimeout{}; // A flow without packets for this long may be removed.
    std::vector<std::string> services;
    std::vector<Route> routes;
    std::vector<ServiceWarmup> warmups; // By service index; services beyond the end have no warm-up specified.

    std::vector<RequestObjective> objectives; // By route index; routes beyond the end have none specified.

    static constexpr std::size_t OldestFields = 4;

    bool operator==(const RoutingTable &) const = default;

    auto fields()
    {
        return std::tie(version, idleTimeout, services, routes, warmups, objectives);
    }

    // Whether each route leads to a service and all times are possible. To be checked for a table that was received.
    bool isValid() const
    {
        const auto leads = [this](const Route &route) {
            const bool known = std::ranges::all_of(route.services, [this](const WeightedService &each) {
                return each.service < services.size();
            });
            const bool weighted = std::ranges::any_of(route.services, [](const WeightedService &each) {
                return each.weight > 0;
            });
            return known && weighted;
        };
        const auto isPossible = [](Duration time) {
            return time >= Duration{0} && time <= MaxTableTime;
        };
        const bool timely = isPossible(idleTimeout) && std::ranges::all_of(warmups, isPossible, &ServiceWarmup::duration)
            && std::ranges::all_of(objectives, isPossible, &RequestObjective::latency)
            && std::ranges::all_of(objectives, isPossible, &RequestObjective::timeout);
        return timely && services.size() <= MaxServices && routes.size() <= MaxRoutes && std::ranges::all_of(routes, leads);
    }

    ServiceWarmup warmupOf(std::uint16_t service) const
    {
        return service < warmups.size() ? warmups[service] : ServiceWarmup{};
    }

    // `route`: one of `routes`.
    RequestObjective objectiveOf(const Route &route) const
    {
        const auto index = static_cast<std::size_t>(&route - routes.data());
        return index < objectives.size() ? objectives[index] : RequestObjective{};
    }
};

} // namespace Robinrail

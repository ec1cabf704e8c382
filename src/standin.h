// SPDX-License-Identifier: MIT
// Stand-ins: small programs in place of targets, callers and the platform's fabric, for demonstration.
#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace Robinrail {

// A target: announces itself, runs requests in its slots and pushes feeds.
struct StandinTargetOptions {
    std::uint32_t id = 0;
    std::uint16_t service = 0;
    std::uint8_t dataCentre = 0;
    std::string listen;
    std::string announceTo; // The fabric's address for targets.
    std::uint16_t slots = 3;
    std::uint16_t connections = 2000;
    int serviceMs = 40; // Mean time of one request.
    int parts = 1; // Of each answer.
    int feedMs = 100; // Between two feed items.
    std::string report; // File for the totals at the end.
};

// Callers: each holds a feed and asks for bookings and documents.
struct StandinCallerOptions {
    std::string rateDesk; // The fabric's address of the first service.
    std::string docVault; // And of the second.
    int feeds = 20;
    int clients = 20; // Callers of requests, each on both services.
    int seconds = 10;
    int thinkMs = 150; // Mean pause between two requests of one caller.
    std::uint32_t seed = 1;
    std::string report;
};

// One address of the fabric and the balancers' addresses behind it.
struct StandinRoute {
    std::string listen;
    std::vector<std::string> balancers;
};

struct StandinFabricOptions {
    std::vector<StandinRoute> routes;
    std::uint32_t seed = 1;
    double duplicate = 0; // Part of the packets that arrive twice.
    double drop = 0; // Part of the packets that are lost.
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    StandinTargetOptions, id, service, dataCentre, listen, announceTo, slots, connections, serviceMs, parts, feedMs, report)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(StandinCallerOptions, rateDesk, docVault, feeds, clients, seconds, thinkMs, seed, report)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(StandinRoute, listen, balancers)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(StandinFabricOptions, routes, seed, duplicate, drop)

// Each runs until SIGTERM, or until its time is over, and answers an exit code.
int runStandinTarget(const StandinTargetOptions &options);
int runStandinCaller(const StandinCallerOptions &options);
int runStandinFabric(const StandinFabricOptions &options);

} // namespace Robinrail

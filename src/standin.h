// SPDX-License-Identifier: MIT
// Stand-ins: small programs that replace targets, callers and the platform's network fabric in demonstrations and tests.
#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace Robinrail {

// A target that announces itself, runs requests in its slots and pushes feed items.
struct StandinTargetOptions {
    std::uint32_t id = 0;
    std::uint16_t service = 0;
    std::uint8_t dataCentre = 0;
    std::string listen;
    std::string announceTo; // Address of the fabric for announcements.
    std::uint16_t slots = 3;
    std::uint16_t connections = 2000;
    int serviceMs = 40; // Mean service time, exponentially distributed.
    int parts = 1; // Parts of each answer.
    int feedMs = 100; // Interval between items of a feed.
    std::string report; // File that receives the totals on exit; none if empty.
};

// Callers: some hold a feed, the others send requests to both services.
struct StandinCallerOptions {
    std::string rateDesk; // Address of the fabric for the first service.
    std::string docVault; // Address of the fabric for the second service.
    int feeds = 20;
    int clients = 20; // Callers that send requests, each with a flow to both services.
    int seconds = 10;
    int thinkMs = 150; // Mean pause between two requests of one flow.
    std::uint32_t seed = 1;
    std::string report;
};

// An address of the fabric and the balancers to which it forwards.
struct StandinRoute {
    std::string listen;
    std::vector<std::string> balancers;
};

struct StandinFabricOptions {
    std::vector<StandinRoute> routes;
    std::uint32_t seed = 1;
    double duplicate = 0; // Probability that a packet arrives twice.
    double drop = 0; // Probability that a packet is lost.
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    StandinTargetOptions, id, service, dataCentre, listen, announceTo, slots, connections, serviceMs, parts, feedMs, report)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(StandinCallerOptions, rateDesk, docVault, feeds, clients, seconds, thinkMs, seed, report)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(StandinRoute, listen, balancers)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(StandinFabricOptions, routes, seed, duplicate, drop)

// Each runs until SIGTERM or SIGINT, the callers also until their `seconds` are over, and returns the exit code.
int runStandinTarget(const StandinTargetOptions &options);
int runStandinCaller(const StandinCallerOptions &options);
int runStandinFabric(const StandinFabricOptions &options);

} // namespace Robinrail

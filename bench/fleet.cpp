// SPDX-License-Identifier: MIT
// Prints the traffic that replicas send to each other and to balancers, and its processing time, as measured in the fleet model.
// Usage: robinrail-fleet DATA-CENTRES REPLICAS-EACH BALANCERS-EACH TARGETS-EACH
#include "fleet_model.h"
#include "log.h"

#include <cstdlib>
#include <iomanip>
#include <iostream>

using namespace Robinrail;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t Seed = 7;

void print(const char *phase, const FleetMetrics &figures)
{
    std::cout << std::left << std::setw(28) << phase << std::right << std::fixed << std::setprecision(1) //
              << std::setw(12) << figures.replicaBytes / 1e3 << std::setw(12) << figures.replicaMessages //
              << std::setw(12) << figures.balancerBytes / 1e3 << std::setw(12) << figures.crossDataCentreBytes / 1e3 //
              << std::setprecision(3) << std::setw(12) << figures.processorSeconds << std::setw(12) << figures.maxProcessorSeconds << '\n';
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 5) {
        std::cerr << "usage: robinrail-fleet DATA-CENTRES REPLICAS-EACH BALANCERS-EACH TARGETS-EACH\n";
        return 2;
    }
    const auto number = [argv](int argument) {
        return static_cast<std::size_t>(std::strtoul(argv[argument], nullptr, 10));
    };
    const FleetShape shape{number(1), number(2), number(3), number(4)};
    if (shape.dataCentres == 0 || shape.replicasEach == 0) {
        std::cerr << "robinrail-fleet: at least one data centre and one replica in each\n";
        return 2;
    }
    configureLog({LogLevel::Error, {}});
    FleetModel model(shape, Seed);
    std::cout << "per replica                    to peers kB    messages to balan. kB      far kB   processor s   busiest\n";
    model.start();
    model.run(seconds(10));
    print("start, 10 s", model.takeMetrics());
    model.run(seconds(10));
    print("calm, 10 s", model.takeMetrics());
    model.drain(shape.targetsEach / 10, seconds(5), seconds(6));
    model.run(seconds(15));
    print("a tenth drains and ends, 15 s", model.takeMetrics());
    model.restartAll(seconds(1));
    model.run(seconds(5));
    print("all processes killed, 5 s", model.takeMetrics());
    model.restartAll(seconds(1), {0});
    model.run(seconds(5));
    print("and one disk lost, 5 s", model.takeMetrics());
    std::cout << "replicas alike: " << (model.inSync() ? "yes" : "no") << ", drains unanswered: " << model.drainsUnanswered()
              << ", longest drain answer: " << model.longestDrainAnswer().count() / 1000 << " ms\n";
    return 0;
}

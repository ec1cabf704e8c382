// SPDX-License-Identifier: MIT
// robinrail-soak: injects faults by seeded random choice into the real programs and checks the invariants that callers,
// targets and operators rely on.
#include "arguments.h"
#include "log.h"
#include "loopback_network_lock.h"
#include "soak_run.h"

#include <iostream>
#include <unistd.h>

using namespace Robinrail;

namespace {

constexpr const char *Usage = R"(robinrail-soak: injects random faults into the real programs, on loopback.

Usage:
  robinrail-soak --programs=DIR --work=DIR [options]
  robinrail-soak (-h | --help)
  robinrail-soak --version

Options:
  --programs=DIR    Where robinrail-platform-balancer and robinrail-platform-control are.
  --work=DIR        Settings, logs and data, one folder per seed; kept if an invariant was violated.
  --seed=N          First seed [default: 1].
  --seeds=N         Number of consecutive seeds [default: 1].
  --seconds=N       How long faults are injected, for each seed [default: 20].
  --replicas=N      Replicas, an odd number [default: 3].
  --balancers=N     Balancers [default: 4].
  --targets=N       Targets, an even number [default: 10].
  --callers=N       Callers [default: 30].
  --network=N       Second octet of all loopback addresses, 16 to 254; 0: derived from the
                    process ID, so that concurrent runs don't collide [default: 0].
  -h --help         Show this text.
  --version         Show the version.

Ends with "seeds: N kept, N broken". Exit codes: 0 all invariants held, 1 violations, 2 bad arguments.
)";

constexpr int ExitViolations = 1;
constexpr int ExitBadArguments = 2;

// Loopback networks for soak runs; other tests use lower ones.
constexpr std::uint8_t FirstNetwork = 16;
constexpr std::uint8_t LastNetwork = 254;

std::uint8_t networkForProcess()
{
    return static_cast<std::uint8_t>(FirstNetwork + ::getpid() % (LastNetwork - FirstNetwork + 1));
}

// Range of a numeric option, both ends included.
struct Range {
    long min = 1;
    long max = 1;
};

std::size_t parseNumber(std::map<std::string, docopt::value> &arguments, const std::string &option, Range range)
{
    long number = 0;
    try {
        number = arguments[option].asLong();
    } catch (const std::exception &) {
        number = range.min - 1;
    }
    if (number < range.min || number > range.max) {
        std::cerr << option << ": must be an integer from " << range.min << " to " << range.max << '\n';
        std::exit(ExitBadArguments);
    }
    return static_cast<std::size_t>(number);
}

} // namespace

int main(int argc, char **argv)
{
    constexpr long MaxNumber = 1'000'000'000;
    auto arguments = parseArguments(Usage, argc, argv);
    configureLog({});
    Soak::RunOptions options;
    options.programs = arguments["--programs"].asString();
    options.faultInjectionTime = Soak::seconds(parseNumber(arguments, "--seconds", {1, MaxNumber}));
    const auto network = static_cast<std::uint8_t>(parseNumber(arguments, "--network", {0, LastNetwork}));
    boost::asio::io_context io;
    const Soak::LoopbackNetworkLock networkLock(io, FirstNetwork, LastNetwork, network != 0 ? network : networkForProcess());
    if (networkLock.network() == 0 || (network != 0 && networkLock.network() != network)) {
        std::cerr << "the loopback network is in use by another run\n";
        return ExitBadArguments;
    }
    options.topology.network = networkLock.network();
    options.topology.replicas = parseNumber(arguments, "--replicas", {3, 9});
    options.topology.balancers = parseNumber(arguments, "--balancers", {1, 200});
    options.topology.targets = parseNumber(arguments, "--targets", {2, 200});
    options.topology.callers = parseNumber(arguments, "--callers", {1, 2000});
    const std::size_t first = parseNumber(arguments, "--seed", {1, MaxNumber});
    const std::size_t seeds = parseNumber(arguments, "--seeds", {1, MaxNumber});
    std::size_t broken = 0;
    for (std::size_t seed = first; seed < first + seeds; ++seed) {
        options.seed = seed;
        options.work = std::filesystem::path(arguments["--work"].asString()) / ("seed-" + std::to_string(seed));
        if (Soak::runSoak(options)) {
            std::filesystem::remove_all(options.work);
        } else {
            ++broken;
        }
    }
    std::cout << "seeds: " << seeds - broken << " kept, " << broken << " broken\n";
    return broken == 0 ? 0 : ExitViolations;
}

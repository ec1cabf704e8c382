// SPDX-License-Identifier: MIT
// robinrail-balancer: the balancer daemon, which runs on each entry VM.
#include "arguments.h"
#include "balancer_daemon.h"
#include "event_loop.h"
#include "program.h"

#include <boost/asio/io_context.hpp>
#include <sodium.h>

#include <iostream>

namespace leaf = boost::leaf;
using namespace Robinrail;

namespace {

constexpr const char *Usage = R"(robinrail-balancer: routes the flows of callers to targets.

Usage:
  robinrail-balancer --settings=FILE [--check] [--test-faults]
  robinrail-balancer (-h | --help)
  robinrail-balancer --version

Options:
  --settings=FILE  Settings, JSON (schemas/balancer.schema.json).
  --check          Check the settings and exit without binding any address.
  --test-faults    Let the administration API drop traffic by peer, for tests.
  -h --help        Show this text.
  --version        Show the version.

SIGTERM starts a planned stop; SIGHUP reloads the connection id keys.

Exit codes: 0 stopped as planned, 1 failed while running, 2 settings are invalid.
)";

leaf::result<int> run(const std::string &path, bool checkOnly, bool testFaults)
{
    BOOST_LEAF_AUTO(settings, loadBalancerSettings(path));
    if (checkOnly) {
        std::cout << path << ": ok\n";
        return 0;
    }
    configureLog(settings.log);
    BOOST_LEAF_AUTO(state, startNewIncarnation(settings.dataFolder));
    boost::asio::io_context io;
    BalancerDaemon daemon(io, path, std::move(settings), std::move(state), testFaults);
    if (!daemon.start()) {
        return ExitFailed;
    }
    return runEventLoop(io);
}

} // namespace

int main(int argc, char **argv)
{
    const auto arguments = Robinrail::parseArguments(Usage, argc, argv);
    if (sodium_init() < 0) {
        return ExitFailed;
    }
    return runProgram([&] {
        return run(arguments.at("--settings").asString(), arguments.at("--check").asBool(), arguments.at("--test-faults").asBool());
    });
}

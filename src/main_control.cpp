// SPDX-License-Identifier: MIT
// robinrail-control: the control replica daemon, which runs on each VM with a disk.
#include "arguments.h"
#include "control_daemon.h"
#include "event_loop.h"
#include "program.h"

#include <boost/asio/io_context.hpp>
#include <sodium.h>

#include <iostream>

namespace leaf = boost::leaf;
using namespace Robinrail;

namespace {

constexpr const char *Usage = R"(robinrail-control: replicates the configuration among the control VMs.

Usage:
  robinrail-control --settings=FILE [--bootstrap] [--check] [--test-faults]
  robinrail-control (-h | --help)
  robinrail-control --version

Options:
  --settings=FILE  Settings, JSON (schemas/control.schema.json).
  --bootstrap      Start a new cluster with this replica as its only voter. Requires an empty
                   data folder; use it on one replica only, the others join automatically.
  --check          Check the settings and exit without binding any address.
  --test-faults    Let the administration API drop traffic by peer, for tests.
  -h --help        Show this text.
  --version        Show the version.

Exit codes: 0 stopped as asked, 1 failed while running, 2 settings are invalid,
3 the data folder is refused.
)";

std::uint64_t randomNonZero()
{
    std::uint64_t number = 0;
    while (number == 0) {
        randombytes_buf(&number, sizeof(number));
    }
    return number;
}

// Initializes an empty data folder as that of the first voter of a new cluster.
leaf::result<void> bootstrap(RaftStorage &storage, const ControlDaemonSettings &settings)
{
    if (!storage.newlyCreated()) {
        return leaf::new_error(StorageError::ForeignFolder, StorageContext{settings.dataFolder.string(), "--bootstrap needs an empty folder"});
    }
    BOOST_LEAF_CHECK(storage.setCluster(randomNonZero()));
    const ReplicaKey self{settings.replica, storage.identity().disk};
    const PersistentRaftState durable = RaftCore::bootstrap(self, encodeMessage(ControlCommand(Genesis{settings.firstOperators})));
    RaftOutput initial;
    initial.hard = durable.hard;
    initial.entries = durable.log;
    return storage.persist(initial);
}

leaf::result<int> run(const std::string &path, bool checkOnly, bool bootstrapFirst, bool testFaults)
{
    BOOST_LEAF_AUTO(settings, loadControlSettings(path));
    if (checkOnly) {
        std::cout << path << ": ok\n";
        return 0;
    }
    configureLog(settings.log);
    if (bootstrapFirst) {
        BOOST_LEAF_AUTO(emptyStorage, RaftStorage::open(settings.dataFolder, settings.replica, randomNonZero()));
        BOOST_LEAF_CHECK(bootstrap(emptyStorage, settings));
    }
    BOOST_LEAF_AUTO(storage, RaftStorage::open(settings.dataFolder, settings.replica, randomNonZero()));
    boost::asio::io_context io;
    ControlDaemon daemon(io, std::move(settings), std::move(storage), testFaults);
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
        return run(arguments.at("--settings").asString(),
                   arguments.at("--check").asBool(),
                   arguments.at("--bootstrap").asBool(),
                   arguments.at("--test-faults").asBool());
    });
}

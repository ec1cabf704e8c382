// SPDX-License-Identifier: MIT
// robinrail-control: the daemon of one VM with a disk.
#include "arguments.h"
#include "control_daemon.h"
#include "program.h"

#include <boost/asio/io_context.hpp>
#include <sodium.h>

#include <iostream>

namespace leaf = boost::leaf;
using namespace Robinrail;

namespace {

constexpr const char *Usage = R"(robinrail-control: agrees with its replicas on the configuration.

Usage:
  robinrail-control --settings=FILE [--bootstrap] [--check] [--test-faults]
  robinrail-control (-h | --help)
  robinrail-control --version

Options:
  --settings=FILE  Settings, JSON (schemas/control.schema.json).
  --bootstrap      Begin a new cluster with this replica as its only voter. Only for an
                   empty data folder, and only on one replica; the others join by themselves.
  --check          Check the settings, bind nothing, and end.
  --test-faults    Let the administration API drop traffic by peer, for tests.
  -h --help        Show this text.
  --version        Show the version.

Exit codes: 0 stopped as asked, 1 failed while running, 2 settings are wrong,
3 the data folder is refused.
)";

std::uint64_t randomNumber()
{
    std::uint64_t number = 0;
    while (number == 0) {
        randombytes_buf(&number, sizeof(number));
    }
    return number;
}

// Makes a fresh folder the beginning of a new cluster.
leaf::result<void> bootstrap(RaftStorage &storage, const ControlDaemonSettings &file)
{
    if (!storage.fresh()) {
        return leaf::new_error(StorageError::ForeignFolder, StorageContext{file.dataFolder.string(), "--bootstrap needs an empty folder"});
    }
    BOOST_LEAF_CHECK(storage.setCluster(randomNumber()));
    const ReplicaKey self{file.replica, storage.identity().disk};
    const RaftDurable durable = RaftCore::bootstrap(self, encodeMessage(ControlCommand(Genesis{file.firstOperators})));
    RaftOutput first;
    first.hard = durable.hard;
    first.entries = durable.log;
    return storage.persist(first);
}

leaf::result<int> run(const std::string &path, bool checkOnly, bool bootstrapFirst, bool testFaults)
{
    BOOST_LEAF_AUTO(file, loadControlSettings(path));
    if (checkOnly) {
        std::cout << path << ": ok\n";
        return 0;
    }
    configureLog(file.log);
    if (bootstrapFirst) {
        BOOST_LEAF_AUTO(empty, RaftStorage::open(file.dataFolder, file.replica, randomNumber()));
        BOOST_LEAF_CHECK(bootstrap(empty, file));
    }
    BOOST_LEAF_AUTO(storage, RaftStorage::open(file.dataFolder, file.replica, randomNumber()));
    boost::asio::io_context io;
    ControlDaemon daemon(io, std::move(file), std::move(storage), testFaults);
    if (!daemon.start()) {
        return ExitFailed;
    }
    io.run();
    return 0;
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

// SPDX-License-Identifier: MIT
// Tests of the data folder of a routing replica and of the replica driver.
#include "replica_driver.h"
#include "replica_storage.h"
#include "routing_state.h"
#include "test_disk.h"

#include "async_file_writer.h"
#include "durable_file.h"

#include <boost/leaf/handle_errors.hpp>
#include <doctest/doctest.h>

#include <fstream>
#include <thread>

using namespace Robinrail;
namespace leaf = boost::leaf;
namespace fs = std::filesystem;

namespace {

const TimePoint Start(std::chrono::hours(1));
constexpr std::uint32_t Seed = 7;

SteeringSettings settingsFor(const fs::path &folder, bool firstStart)
{
    SteeringSettings file;
    file.dataFolder = folder;
    file.firstStart = firstStart;
    file.seeds = {{1, 70}, {2, 70}, {3, 70}};
    return file;
}

// Opens the data folder of a replica and passes the storage to `use`; whether it could be opened.
template<typename Use>
bool withStorage(const SteeringSettings &file, ReplicaId self, Use use)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<bool> {
            BOOST_LEAF_AUTO(storage, openReplicaStorage(file, self));
            use(std::move(storage));
            return true;
        },
        [] {
            return false;
        });
}

RaftEnvelope envelopeTo(ReplicaKey to, std::uint64_t cluster)
{
    return {cluster, {ReplicaId{2}, 1}, to, {}};
}

} // namespace

TEST_CASE("at the first start all seeds bootstrap the same cluster, and other replicas none")
{
    std::uint64_t cluster = 0;
    for (const std::uint32_t seed : {1U, 2U, 3U}) {
        const TemporaryFolder folder;
        CHECK(withStorage(settingsFor(folder.path(), true), ReplicaId{seed}, [&cluster, seed](const RaftStorage &storage) {
            CHECK(storage.identity().cluster != 0);
            CHECK((seed == 1 || storage.identity().cluster == cluster));
            cluster = storage.identity().cluster;
        }));
    }
    const TemporaryFolder other;
    CHECK(withStorage(settingsFor(other.path(), true), ReplicaId{4}, [](const RaftStorage &storage) {
        CHECK(storage.identity().cluster == 0);
    }));
}

TEST_CASE("a seed that restarts with an empty disk gets a new disk number and belongs to no cluster")
{
    const TemporaryFolder folder;
    CHECK(withStorage(settingsFor(folder.path(), false), ReplicaId{1}, [](const RaftStorage &storage) {
        CHECK(storage.identity().cluster == 0);
        CHECK(storage.identity().disk > 1);
    }));
}

TEST_CASE("a driver admits only messages for its disk and its cluster, and joins the first cluster that sends it one")
{
    const TemporaryFolder folder;
    CHECK(withStorage(settingsFor(folder.path(), false), ReplicaId{4}, [](RaftStorage storage) {
        ReplicaDriver<RoutingState> driver(std::move(storage), Start, Seed);
        CHECK(driver.admit(envelopeTo({ReplicaId{4}, 99}, 5)) == Admission::Rejected);
        CHECK(driver.admit(envelopeTo(driver.self(), 5)) == Admission::Admitted);
        CHECK(driver.admit(envelopeTo(driver.self(), 6)) == Admission::Rejected);
        CHECK(driver.makeEnvelope({{ReplicaId{1}, 1}, JoinRequest{driver.self()}}).cluster == 5);
    }));
}

TEST_CASE("a driver reports a failed write and sends no message that depends on it")
{
    const TemporaryFolder folder;
    const SteeringSettings file = settingsFor(folder.path() / "data", true);
    CHECK(withStorage(file, ReplicaId{1}, [&file](RaftStorage storage) {
        ReplicaDriver<RoutingState> driver(std::move(storage), Start, Seed);
        std::size_t sent = 0;
        const auto send = [&sent](const RaftSend &) {
            ++sent;
        };
        CHECK(driver.processOutput(send));
        const std::uint64_t written = fs::file_size(file.dataFolder / "log");
        const FullDisk full(written);
        // The vote of the candidate for itself can't be persisted, so no vote may be requested.
        driver.core().tick(Start + std::chrono::seconds(5));
        driver.core().handle(Start + std::chrono::seconds(5), {ReplicaId{2}, 1}, VoteReply{Term{2}, true, true});
        sent = 0;
        CHECK_FALSE(driver.processOutput(send));
        CHECK(sent == 0);
    }));
}

TEST_CASE("recovery notes that belong to another disk or can't be read are ignored")
{
    const TemporaryFolder folder;
    const fs::path path = folder.path() / "notes";
    CHECK(value(readRecoveryNotes(path, 9).committed) == 0);
    const Bytes bytes = encodeNotes({9, LogIndex{12}, {}, {{ReplicaId{4}, DataCentreId{2}}}});
    std::ofstream(path, std::ios::binary).write(reinterpret_cast<const char *>(bytes.data()), static_cast<std::streamsize>(bytes.size()));
    CHECK(value(readRecoveryNotes(path, 9).committed) == 12);
    CHECK(value(readRecoveryNotes(path, 8).committed) == 0);
    CHECK(value(readRecoveryNotes(folder.path(), 9).committed) == 0);
}

// Format of the recovery notes before the data centres of the replicas were added.
struct PreviousRecoveryNotes {
    std::uint64_t disk = 0;
    LogIndex committed{};
    std::vector<TargetStatus> targets;

    auto fields()
    {
        return std::tie(disk, committed, targets);
    }
};

TEST_CASE("recovery notes contain the data centres of replicas, and the previous format can still be read")
{
    const ReplicaLocation place{ReplicaId{4}, DataCentreId{2}};
    const std::optional<RecoveryNotes> notes = decodeNotes(encodeNotes({9, LogIndex{12}, {}, {place}}));
    REQUIRE(notes);
    CHECK(notes->replicas == std::vector{place});
    const std::optional<RecoveryNotes> older = decodeNotes(encodeMessage(std::variant<PreviousRecoveryNotes>(PreviousRecoveryNotes{9, LogIndex{12}, {}})));
    REQUIRE(older);
    CHECK(older->committed == LogIndex{12});
    CHECK(older->replicas.empty());
}

TEST_CASE("the asynchronous file writer counts failed writes")
{
    const TemporaryFolder folder;
    AsyncFileWriter file(folder.path() / "missing" / "notes");
    CHECK(file.replace(Bytes{1}));
    while (file.failures() == 0) {
        std::this_thread::yield();
    }
    CHECK(file.failures() == 1);
}

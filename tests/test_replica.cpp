// SPDX-License-Identifier: MIT
// Replica: the folder of a routing replica and the driver between its core and its disk.
#include "replica_driver.h"
#include "replica_folder.h"
#include "routing_state.h"
#include "test_disk.h"

#include "background_file.h"
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

// Opens the folder of a replica, and uses it; whether both worked.
template<typename Use>
bool withFolder(const SteeringSettings &file, ReplicaId self, Use use)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<bool> {
            BOOST_LEAF_AUTO(storage, openReplicaFolder(file, self));
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

TEST_CASE("seeds begin one cluster at the first start, other replicas none")
{
    std::uint64_t cluster = 0;
    for (const std::uint32_t seed : {1U, 2U, 3U}) {
        const Folder folder;
        CHECK(withFolder(settingsFor(folder.path(), true), ReplicaId{seed}, [&cluster, seed](const RaftStorage &storage) {
            CHECK(storage.identity().cluster != 0);
            CHECK((seed == 1 || storage.identity().cluster == cluster));
            cluster = storage.identity().cluster;
        }));
    }
    const Folder other;
    CHECK(withFolder(settingsFor(other.path(), true), ReplicaId{4}, [](const RaftStorage &storage) {
        CHECK(storage.identity().cluster == 0);
    }));
}

TEST_CASE("a seed that comes back with an empty disk is a new voter without a cluster")
{
    const Folder folder;
    CHECK(withFolder(settingsFor(folder.path(), false), ReplicaId{1}, [](const RaftStorage &storage) {
        CHECK(storage.identity().cluster == 0);
        CHECK(storage.identity().disk > 1);
    }));
}

TEST_CASE("a driver takes messages of its cluster for its disk, and joins the first cluster that speaks to it")
{
    const Folder folder;
    CHECK(withFolder(settingsFor(folder.path(), false), ReplicaId{4}, [](RaftStorage storage) {
        ReplicaDriver<RoutingState> driver(std::move(storage), Start, Seed);
        CHECK(driver.admit(envelopeTo({ReplicaId{4}, 99}, 5)) == Admission::Rejected);
        CHECK(driver.admit(envelopeTo(driver.self(), 5)) == Admission::Admitted);
        CHECK(driver.admit(envelopeTo(driver.self(), 6)) == Admission::Rejected);
        CHECK(driver.envelopeOf({{ReplicaId{1}, 1}, JoinRequest{driver.self()}}).cluster == 5);
    }));
}

TEST_CASE("a driver whose disk refuses says so, and does not send what it could not write")
{
    const Folder folder;
    const SteeringSettings file = settingsFor(folder.path() / "data", true);
    CHECK(withFolder(file, ReplicaId{1}, [&file](RaftStorage storage) {
        ReplicaDriver<RoutingState> driver(std::move(storage), Start, Seed);
        std::size_t sent = 0;
        const auto send = [&sent](const RaftSend &) {
            ++sent;
        };
        CHECK(driver.round(send));
        const std::uint64_t written = fs::file_size(file.dataFolder / "log");
        const FullDisk full(written);
        // The election that is due can't be written, so nobody may be asked for a vote.
        driver.core().tick(Start + std::chrono::seconds(5));
        driver.core().handle(Start + std::chrono::seconds(5), {ReplicaId{2}, 1}, VoteReply{Term{2}, true, true});
        sent = 0;
        CHECK_FALSE(driver.round(send));
        CHECK(sent == 0);
    }));
}

TEST_CASE("recovery notes of another disk, and those that can't be read, are as none")
{
    const Folder folder;
    const fs::path path = folder.path() / "notes";
    CHECK(value(readRecoveryNotes(path, 9).committed) == 0);
    const Bytes bytes = encodeNotes({9, LogIndex{12}, {}, {{ReplicaId{4}, DataCentreId{2}}}});
    std::ofstream(path, std::ios::binary).write(reinterpret_cast<const char *>(bytes.data()), static_cast<std::streamsize>(bytes.size()));
    CHECK(value(readRecoveryNotes(path, 9).committed) == 12);
    CHECK(value(readRecoveryNotes(path, 8).committed) == 0);
    CHECK(value(readRecoveryNotes(folder.path(), 9).committed) == 0);
}

struct NotesWithoutPlaces {
    std::uint64_t disk = 0;
    LogIndex committed{};
    std::vector<TargetStatus> targets;

    auto fields()
    {
        return std::tie(disk, committed, targets);
    }
};

TEST_CASE("recovery notes tell where replicas are, and those of the release before are read")
{
    const ReplicaPlace place{ReplicaId{4}, DataCentreId{2}};
    const std::optional<RecoveryNotes> notes = decodeNotes(encodeNotes({9, LogIndex{12}, {}, {place}}));
    REQUIRE(notes);
    CHECK(notes->replicas == std::vector{place});
    const std::optional<RecoveryNotes> older = decodeNotes(encodeMessage(std::variant<NotesWithoutPlaces>(NotesWithoutPlaces{9, LogIndex{12}, {}})));
    REQUIRE(older);
    CHECK(older->committed == LogIndex{12});
    CHECK(older->replicas.empty());
}

TEST_CASE("a file that can't be replaced in the background is counted")
{
    const Folder folder;
    BackgroundFile file(folder.path() / "missing" / "notes");
    CHECK(file.replace(Bytes{1}));
    while (file.failures() == 0) {
        std::this_thread::yield();
    }
    CHECK(file.failures() == 1);
}

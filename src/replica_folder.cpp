// SPDX-License-Identifier: MIT
// Replica folder: implementation.
#include "replica_folder.h"

#include "durable_file.h"
#include "hash.h"
#include "log.h"

#include <boost/leaf/handle_errors.hpp>

#include <algorithm>
#include <random>
#include <system_error>

namespace Robinrail {

namespace leaf = boost::leaf;

namespace {

// The disk number of every seed at the first start; all others are drawn at random above it.
constexpr std::uint64_t FirstDisk = 1;

std::uint64_t randomDisk()
{
    std::random_device device;
    const std::uint64_t drawn = (std::uint64_t{device()} << 32U) | device();
    return std::max(drawn, FirstDisk + 1);
}

// All seeds derive the same cluster number from each other.
std::uint64_t clusterOf(std::span<const ReplicaKey> voters)
{
    std::uint64_t hash = voters.size();
    for (const ReplicaKey &voter : voters) {
        hash = hashPair(hash, value(voter.id));
    }
    return std::max<std::uint64_t>(hash, 1);
}

// At the first start of all, the seeds are the voters, and each seed writes the same beginning of the log.
leaf::result<RaftStorage> beginCluster(RaftStorage storage, const SteeringSettings &file, ReplicaId self)
{
    std::vector<ReplicaKey> voters;
    for (const Endpoint &seed : file.seeds) {
        voters.push_back({ReplicaId{seed.address}, FirstDisk});
    }
    std::sort(voters.begin(), voters.end());
    const bool isSeed = std::find(voters.begin(), voters.end(), ReplicaKey{self, FirstDisk}) != voters.end();
    if (!isSeed || storage.identity().cluster != 0) {
        return storage;
    }
    const RaftDurable beginning = RaftCore::bootstrap(voters);
    RaftOutput first;
    first.hard = beginning.hard;
    first.entries = beginning.log;
    BOOST_LEAF_CHECK(storage.persist(first));
    BOOST_LEAF_CHECK(storage.setCluster(clusterOf(voters)));
    return RaftStorage::open(file.dataFolder, self, FirstDisk);
}

} // namespace

leaf::result<RaftStorage> openReplicaFolder(const SteeringSettings &file, ReplicaId self)
{
    const std::uint64_t disk = file.firstStart ? FirstDisk : randomDisk();
    BOOST_LEAF_AUTO(storage, RaftStorage::open(file.dataFolder, self, disk));
    if (file.firstStart) {
        return beginCluster(std::move(storage), file, self);
    }
    return storage;
}

RecoveryNotes readRecoveryNotes(const std::filesystem::path &path, std::uint64_t disk)
{
    const std::optional<Bytes> bytes = leaf::try_handle_all(
        [&] {
            return readFile(path);
        },
        [&](const FileErrorContext &context) {
            const std::string reason = std::generic_category().message(context.errorNumber);
            LogLine(LogLevel::Warning, "notes-unreadable").with("file", context.path).with("reason", reason);
            return std::optional<Bytes>();
        },
        [&](const leaf::error_info &info) {
            LogLine(LogLevel::Warning, "notes-unreadable").with("file", path.string()).with("error", info.error().value());
            return std::optional<Bytes>();
        });
    std::optional<RecoveryNotes> notes = bytes ? decodeNotes(*bytes) : std::nullopt;
    if (!notes || notes->disk != disk) {
        return {};
    }
    return std::move(*notes);
}

} // namespace Robinrail

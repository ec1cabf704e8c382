// SPDX-License-Identifier: MIT
// Replica folder: implementation.
#include "replica_storage.h"

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

// Disk number of every seed at the first start, so that each seed knows the keys of the others; all other disk
// numbers are random and higher.
constexpr std::uint64_t BootstrapDisk = 1;

std::uint64_t randomDiskNumber()
{
    std::random_device device;
    const std::uint64_t drawn = (std::uint64_t{device()} << 32U) | device();
    return std::max(drawn, BootstrapDisk + 1);
}

// Cluster id, derived from the list of seeds so that all of them compute the same one.
std::uint64_t clusterIdOf(std::span<const ReplicaKey> voters)
{
    std::uint64_t hash = voters.size();
    for (const ReplicaKey &voter : voters) {
        hash = hashPair(hash, value(voter.id));
    }
    return std::max<std::uint64_t>(hash, 1);
}

// At the first start of a deployment, the seeds are the voters and each writes the same initial log.
leaf::result<RaftStorage> bootstrapCluster(RaftStorage storage, const SteeringSettings &file, ReplicaId self)
{
    std::vector<ReplicaKey> voters;
    for (const Endpoint &seed : file.seeds) {
        voters.push_back({ReplicaId{seed.address}, BootstrapDisk});
    }
    std::sort(voters.begin(), voters.end());
    const bool isSeed = std::find(voters.begin(), voters.end(), ReplicaKey{self, BootstrapDisk}) != voters.end();
    if (!isSeed || storage.identity().cluster != 0) {
        return storage;
    }
    const PersistentRaftState beginning = RaftCore::bootstrap(voters);
    RaftOutput first;
    first.hard = beginning.hard;
    first.entries = beginning.log;
    BOOST_LEAF_CHECK(storage.persist(first));
    BOOST_LEAF_CHECK(storage.setCluster(clusterIdOf(voters)));
    return RaftStorage::open(file.dataFolder, self, BootstrapDisk);
}

} // namespace

leaf::result<RaftStorage> openReplicaStorage(const SteeringSettings &file, ReplicaId self)
{
    const std::uint64_t disk = file.firstStart ? BootstrapDisk : randomDiskNumber();
    BOOST_LEAF_AUTO(storage, RaftStorage::open(file.dataFolder, self, disk));
    if (file.firstStart) {
        return bootstrapCluster(std::move(storage), file, self);
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

// SPDX-License-Identifier: MIT
// Raft storage: a replica's log, votes and snapshot under one data folder.
//
// Files: `identity` (cluster, replica, disk, format), `log` (checksummed batches of records) and `snapshot`.
// Whole files are replaced by write, sync, rename and sync of the folder. Records are appended and
// synced before anything is acknowledged.
#pragma once

#include "raft_core.h"

#include <boost/leaf/result.hpp>

#include <filesystem>
#include <string>

namespace Robinrail {

// Newest format of the data folder that this version reads and writes.
// Since 2 the records of one write are one batch under one checksum.
inline constexpr std::uint32_t StorageFormat = 2;

enum class StorageError {
    Io, // Read, write or sync failed, or the disk is full.
    ForeignFolder, // The folder is of another cluster or replica.
    NewerFormat,
    DamagedIdentity,
    DamagedLog, // A record in the middle is damaged: the replica must stay out.
    DamagedSnapshot,
};

// What an error is about, for the message to the operator.
struct StorageContext {
    std::string file;
    std::string detail;
};

// Who the folder belongs to.
struct StorageIdentity {
    std::uint32_t format = StorageFormat;
    std::uint64_t cluster = 0; // 0 until the replica has joined one.
    ReplicaId replica{};
    std::uint64_t disk = 0;

    auto fields()
    {
        return std::tie(format, cluster, replica, disk);
    }
};

class RaftStorage
{
public:
    // Opens the folder of a replica, making it with the disk number `newDisk` if it is empty.
    // A torn record at the end of the log is cut off; see StorageError for all that is refused.
    static boost::leaf::result<RaftStorage> open(const std::filesystem::path &folder, ReplicaId replica, std::uint64_t newDisk);

    RaftStorage(RaftStorage &&other) noexcept;
    RaftStorage &operator=(RaftStorage &&other) noexcept;
    RaftStorage(const RaftStorage &) = delete;
    RaftStorage &operator=(const RaftStorage &) = delete;
    ~RaftStorage();

    const StorageIdentity &identity() const;

    // What was found at opening; moved out.
    PersistentRaftState takePersistentState();

    // Whether the folder was empty at opening.
    bool newlyCreated() const;

    // Sets the cluster once, on bootstrap or on joining.
    boost::leaf::result<void> setCluster(std::uint64_t cluster);

    // Persists what the core's output says, and syncs. After an error nothing may be acknowledged any more.
    boost::leaf::result<void> persist(const RaftOutput &output);

    // Replaces log and snapshot: the snapshot first, then a log with the hard state and the entries after it.
    boost::leaf::result<void> compact(const Snapshot &snapshot, const HardState &hard, std::span<const LogEntry> rest);

    // Bytes of the log file, for deciding when to compact.
    std::uint64_t logBytes() const;

private:
    RaftStorage() = default;
    boost::leaf::result<void> load();
    boost::leaf::result<void> loadLog();
    boost::leaf::result<void> openLog();
    boost::leaf::result<void> append(BytesView bytes);

    std::filesystem::path m_folder;
    StorageIdentity m_identity;
    PersistentRaftState m_durable;
    HardState m_hard;
    bool m_newlyCreated = false;
    int m_log = -1;
    std::uint64_t m_logBytes = 0;
};

} // namespace Robinrail

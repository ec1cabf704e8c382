// SPDX-License-Identifier: MIT
// Raft storage: persistent log, hard state and snapshot of a replica in one data folder.
//
// Files: `identity` (cluster, replica, disk, format), `log` (checksummed batches of records) and `snapshot`.
// Whole files are replaced atomically: write to a temporary file, sync, rename, sync the folder. Log records
// are appended and synced before anything that depends on them is acknowledged.
#pragma once

#include "raft_core.h"

#include <boost/leaf/result.hpp>

#include <filesystem>
#include <string>

namespace Robinrail {

// Newest data folder format that this version can read, and the one that it writes.
// Since format 2, all records of one write form a batch under one checksum.
inline constexpr std::uint32_t StorageFormat = 2;

enum class StorageError {
    Io, // A read, write or sync failed, or the disk is full.
    ForeignFolder, // The folder belongs to another cluster or replica.
    NewerFormat,
    DamagedIdentity,
    DamagedLog, // A record before the end is corrupt: acknowledged entries may be lost, so the replica must not take part.
    DamagedSnapshot,
};

// File and cause of a StorageError, for the operator.
struct StorageContext {
    std::string file;
    std::string detail;
};

// Owner of a data folder.
struct StorageIdentity {
    std::uint32_t format = StorageFormat;
    std::uint64_t cluster = 0; // 0 until the replica has joined a cluster.
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
    // Opens the data folder of a replica; an empty or missing one is initialized with the disk number `newDisk`.
    // A torn record at the end of the log is truncated, and what was read is synced; see StorageError for the other failures.
    static boost::leaf::result<RaftStorage> open(const std::filesystem::path &folder, ReplicaId replica, std::uint64_t newDisk);

    RaftStorage(RaftStorage &&other) noexcept;
    RaftStorage &operator=(RaftStorage &&other) noexcept;
    RaftStorage(const RaftStorage &) = delete;
    RaftStorage &operator=(const RaftStorage &) = delete;
    ~RaftStorage();

    const StorageIdentity &identity() const;

    // State recovered by open(); moves it out.
    PersistentRaftState takePersistentState();

    // Whether open() initialized an empty folder.
    bool newlyCreated() const;

    // Sets the cluster, on bootstrap or on joining; ForeignFolder if another one is set already.
    boost::leaf::result<void> setCluster(std::uint64_t cluster);

    // Persists and syncs snapshot, hard state and entries of an output. After an error nothing may be acknowledged any more.
    boost::leaf::result<void> persist(const RaftOutput &output);

    // Replaces the snapshot, then the log by one with the hard state and the entries after the snapshot. A crash between the
    // two leaves the old log, whose entries covered by the snapshot are ignored when it is read.
    boost::leaf::result<void> compact(const Snapshot &snapshot, const HardState &hard, std::span<const LogEntry> rest);

    // Size of the log file in bytes.
    std::uint64_t logBytes() const;

private:
    RaftStorage() = default;
    boost::leaf::result<void> load();
    boost::leaf::result<void> loadLog();
    boost::leaf::result<void> openLog();
    boost::leaf::result<void> syncFiles();
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

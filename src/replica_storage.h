// SPDX-License-Identifier: MIT
// Replica folder: opens the data folder of a routing replica and reads the recovery notes in it. At the first
// start of a deployment, the seeds bootstrap the cluster.
#pragma once

#include "raft_storage.h"
#include "recovery_notes.h"
#include "settings.h"

namespace Robinrail {

// Opens the storage of a replica, bootstrapping the cluster if needed; fails with StorageError and StorageContext.
boost::leaf::result<RaftStorage> openReplicaStorage(const SteeringSettings &file, ReplicaId self);

// Recovery notes for the given disk number; empty if there are none, they belong to another disk or they can't
// be read, which is safe but delays recovery.
RecoveryNotes readRecoveryNotes(const std::filesystem::path &path, std::uint64_t disk);

} // namespace Robinrail

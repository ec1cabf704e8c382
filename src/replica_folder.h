// SPDX-License-Identifier: MIT
// Replica folder: opens the data folder of a routing replica, which begins its cluster together with the other
// seeds at the first start of all, and reads the recovery notes beside it.
#pragma once

#include "raft_storage.h"
#include "recovery_notes.h"
#include "settings.h"

namespace Robinrail {

// The storage of a replica; StorageError with StorageContext if the disk refuses.
boost::leaf::result<RaftStorage> openReplicaFolder(const SteeringSettings &file, ReplicaId self);

// The notes that go with this disk; empty ones, which only cost time, if there are none or they can't be read.
RecoveryNotes readRecoveryNotes(const std::filesystem::path &path, std::uint64_t disk);

} // namespace Robinrail

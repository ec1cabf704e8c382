// SPDX-License-Identifier: MIT
// Soak run: runs one seed, from the start of the programs to the result.
#pragma once

#include "soak_types.h"

#include <filesystem>

namespace Robinrail::Soak {

struct RunOptions {
    Topology topology;
    std::uint64_t seed = 1;
    seconds faultInjectionTime{20}; // For how long new faults are injected.
    std::filesystem::path programs; // Folder of the programs under test.
    std::filesystem::path work; // Settings, logs and data of this run.
};

// Returns whether all invariants held.
bool runSoak(const RunOptions &options);

} // namespace Robinrail::Soak

// SPDX-License-Identifier: MIT
// Soak run: one seed from the start of the programs to the verdict.
#pragma once

#include "soak_types.h"

#include <filesystem>

namespace Robinrail::Soak {

struct RunOptions {
    Topology topology;
    std::uint64_t seed = 1;
    seconds faultInjectionTime{20}; // Troubles begin for so long.
    std::filesystem::path programs; // Folder of the real programs.
    std::filesystem::path work; // Settings, logs and data of this run.
};

// Whether all promises were kept.
bool runSoak(const RunOptions &options);

} // namespace Robinrail::Soak

// SPDX-License-Identifier: MIT
// Stand-in verification: compares the reports of targets and callers and prints what must hold.
#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace Robinrail {

struct StandinVerifyOptions {
    std::vector<std::string> targets; // Report files.
    std::string callers; // Report file.
    double rolloutSeconds = 0; // Measured by the script; only printed.
    double firstRolloutSeconds = 0;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(StandinVerifyOptions, targets, callers, rolloutSeconds, firstRolloutSeconds)

// Prints one line for each figure; 0 if all that must be 0 is 0, otherwise 1.
int verifyReports(const StandinVerifyOptions &options);

} // namespace Robinrail

// SPDX-License-Identifier: MIT
// Checks the reports of stand-in targets and callers against each other.
#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace Robinrail {

struct StandinVerifyOptions {
    std::vector<std::string> targets; // Report files.
    std::string callers; // Report file.
    double rolloutSeconds = 0; // Measured by the calling script; only printed.
    double firstRolloutSeconds = 0; // Likewise.
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(StandinVerifyOptions, targets, callers, rolloutSeconds, firstRolloutSeconds)

// Prints one line per figure. Returns 0 if no invariant was violated and some request was answered, otherwise 1.
int verifyReports(const StandinVerifyOptions &options);

} // namespace Robinrail

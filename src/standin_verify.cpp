// SPDX-License-Identifier: MIT
// Stand-in verification: implementation.
#include "standin_verify.h"

#include "json_schema.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <map>
#include <set>

namespace Robinrail {

using Json = nlohmann::json;

namespace {

Json readReport(const std::string &path)
{
    std::ifstream file(path);
    const std::string text(std::istreambuf_iterator<char>(file), {});
    return parseJsonResponse(text).value_or(nullptr);
}

// Totals over the reports of all targets.
struct TargetTotals {
    std::map<std::string, int> executions;
    std::map<int, std::vector<double>> busyByService;
    std::uint64_t lateWork = 0;
    std::size_t missing = 0;
};

TargetTotals sumTargetReports(const std::vector<std::string> &paths)
{
    TargetTotals totals;
    for (const std::string &path : paths) {
        const Json report = readReport(path);
        if (!report.is_object()) {
            ++totals.missing;
            continue;
        }
        for (const Json &tag : report["executed"]) {
            ++totals.executions[tag.get<std::string>()];
        }
        totals.lateWork += report["lateWork"].get<std::uint64_t>();
        totals.busyByService[report["service"].get<int>()].push_back(report["busyMicroseconds"].get<double>());
    }
    return totals;
}

// Max/mean busy time.
double imbalance(const std::vector<double> &busy)
{
    double sum = 0;
    for (const double entry : busy) {
        sum += entry;
    }
    const double highest = *std::max_element(busy.begin(), busy.end());
    return sum > 0 ? highest * static_cast<double>(busy.size()) / sum : 1.0;
}

} // namespace

int verifyReports(const StandinVerifyOptions &options)
{
    const Json callers = readReport(options.callers);
    const TargetTotals totals = sumTargetReports(options.targets);
    if (!callers.is_object() || totals.missing > 0) {
        std::cout << "reports missing: " << totals.missing + (callers.is_object() ? 0 : 1) << '\n';
        return 1;
    }
    // Tags that end in "r" belong to repeatable requests, which may run more than once.
    const auto runTwice = std::count_if(totals.executions.begin(), totals.executions.end(), [](const auto &entry) {
        return entry.second > 1 && !entry.first.ends_with('r');
    });
    std::uint64_t falseNotRun = 0;
    for (const Json &tag : callers["notRunTags"]) {
        falseNotRun += totals.executions.contains(tag.get<std::string>()) ? 1 : 0;
    }
    for (const char *figure :
         {"opened", "feedItems", "longestStallMs", "sent", "answered", "notRun", "unknown", "deadlinePassed", "timedOut", "p50Ms", "p99Ms"}) {
        std::cout << figure << ": " << callers[figure] << '\n';
    }
    for (const auto &[service, busy] : totals.busyByService) {
        std::cout << "imbalance of service " << service << " (max/mean busy time): " << imbalance(busy) << '\n';
    }
    std::cout << "seconds to be in force, first bundle: " << options.firstRolloutSeconds << '\n';
    std::cout << "seconds to be in force, second bundle under traffic: " << options.rolloutSeconds << '\n';
    const std::pair<const char *, std::uint64_t> invariants[] = {
        {"broken flows", callers["broken"].get<std::uint64_t>()},
        {"requests run twice", static_cast<std::uint64_t>(runTwice)},
        {"false \"not run\"", falseNotRun},
        {"incomplete or wrong answers", callers["wrongAnswers"].get<std::uint64_t>()},
        {"work at a leaving target after 3 s", totals.lateWork},
    };
    std::uint64_t sum = 0;
    for (const auto &[name, figure] : invariants) {
        std::cout << "must be 0: " << name << ": " << figure << '\n';
        sum += figure;
    }
    return sum == 0 && callers["answered"].get<std::uint64_t>() > 0 ? 0 : 1;
}

} // namespace Robinrail

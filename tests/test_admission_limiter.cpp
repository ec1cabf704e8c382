// SPDX-License-Identifier: MIT
// Rate limiter of admission control: which callers are admitted, and which share of them.
#include "admission_model.h"

#include <doctest/doctest.h>

using namespace Robinrail;
using namespace Robinrail::AdmissionModel;

TEST_CASE("admission: a caller keeps its place for the rotation period, and no caller is always refused")
{
    // Load: a limit of half of the demand. Guards against returns that are admitted by their number, and against callers whose hash
    // is always beyond the limit.
    PriorityRateLimiter limiter;
    PriorityRates demand{};
    demand[Normal] = 100;
    limiter.setLimit(50);
    limiter.assumeDemand(demand);
    const TimePoint start(std::chrono::hours(1));
    double admitted = 0;
    std::size_t changes = 0;
    for (std::uint64_t caller = 0; caller < 1000; caller++) {
        std::size_t times = 0;
        for (int period = 0; period < 20; period++) {
            const TimePoint now = start + period * AdmissionRotation;
            const bool first = limiter.allows(now, {Normal, caller});
            changes += first != limiter.allows(now + milliseconds(100), {Normal, caller}) ? 1 : 0;
            times += first ? 1 : 0;
        }
        CHECK(times > 0);
        CHECK(times < 20);
        admitted += static_cast<double>(times);
    }
    CHECK(admitted / 20'000 == doctest::Approx(0.5).epsilon(0.03));
    // A tenth of the callers begin another period within 100 ms; half of these get another answer.
    CHECK(static_cast<double>(changes) / 20'000 <= 0.06);
}

TEST_CASE("admission: returns of refused callers do not lower the share that is admitted")
{
    // Load: 1.2 times the limit, where each refused caller returns twice within its period. Guards against a share that is computed
    // from the arrivals with their returns: it would admit less than half of the limit.
    PriorityRateLimiter limiter;
    const TimePoint start(std::chrono::hours(1));
    limiter.setLimit(1000);
    double admitted = 0;
    for (int window = 0; window < 40; window++) {
        const TimePoint now = start + window * AdmissionWindow;
        for (std::uint64_t caller = 0; caller < 240; caller++) {
            const AdmissionRequest request{Normal, hashPair(caller, static_cast<std::uint64_t>(window))};
            const bool allowed = limiter.allows(now, request);
            for (int attempt = 0; attempt < (allowed ? 1 : 3); attempt++) {
                limiter.record(request, allowed);
            }
            admitted += allowed && window >= 20 ? 1 : 0;
        }
        limiter.endWindow(AdmissionWindow);
    }
    printFigure("admitted with returns, by the limit", admitted / 4 / 1000);
    CHECK(admitted / 4 >= 900);
    CHECK(admitted / 4 <= 1100);
}

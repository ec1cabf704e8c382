// SPDX-License-Identifier: MIT
// Gone target checker: reads in the logs of the balancers which targets they declare gone, and compares them with those that run.
#pragma once

#include "target_simulator.h"

#include <filesystem>

namespace Robinrail::Soak {

// The keys in the `target-gone` lines of a log.
std::vector<TargetKey> parseGoneTargets(std::istream &log);

class GoneTargetChecker
{
public:
    // `work`: folder of the balancers' logs.
    GoneTargetChecker(const Topology &topology, const TargetSimulator &targets, Violations &violations, std::filesystem::path work);

    void tick(TimePoint now);

private:
    std::filesystem::path m_work;
    const TargetSimulator &m_targets;
    Violations &m_violations;
    std::vector<std::streamoff> m_readUpTo; // Of each balancer's log.
    TimePoint m_nextReadAt;
};

} // namespace Robinrail::Soak

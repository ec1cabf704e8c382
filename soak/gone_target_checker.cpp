// SPDX-License-Identifier: MIT
// Gone target checker: implementation.
#include "gone_target_checker.h"

#include <fstream>

namespace Robinrail::Soak {

namespace {

constexpr Duration ReadInterval = milliseconds(200);

// The log names a target's key, which its predecessor may have had. Results of probes of the predecessor arrive this late at most: a
// probe takes 0.3 s, a link stalls for up to 3.5 s, and the log is read every 0.2 s.
constexpr Duration MinTargetAge = seconds(5);

} // namespace

std::vector<TargetKey> parseGoneTargets(std::istream &log)
{
    constexpr std::string_view Event = "target-gone target=";
    std::vector<TargetKey> gone;
    for (std::string line; std::getline(log, line);) {
        const std::size_t at = line.find(Event);
        if (at != std::string::npos) {
            gone.push_back(TargetKey{std::stoull(line.substr(at + Event.size()))});
        }
    }
    return gone;
}

GoneTargetChecker::GoneTargetChecker(const Topology &topology, const TargetSimulator &targets, Violations &violations, std::filesystem::path work)
    : m_work(std::move(work))
    , m_targets(targets)
    , m_violations(violations)
    , m_readUpTo(topology.balancers)
{
}

void GoneTargetChecker::tick(TimePoint now)
{
    if (now < m_nextReadAt) {
        return;
    }
    m_nextReadAt = now + ReadInterval;
    for (std::size_t i = 0; i < m_readUpTo.size(); ++i) {
        const std::string name = "balancer-" + std::to_string(i);
        std::ifstream log(m_work / (name + ".log"));
        log.seekg(0, std::ios::end);
        const std::streamoff end = std::max<std::streamoff>(log.tellg(), 0);
        std::string text(static_cast<std::size_t>(end - m_readUpTo[i]), '\0');
        log.seekg(m_readUpTo[i]);
        log.read(text.data(), static_cast<std::streamsize>(text.size()));
        text.resize(text.rfind('\n') + 1); // An unfinished line is read again.
        m_readUpTo[i] += static_cast<std::streamoff>(text.size());
        std::istringstream lines(text);
        for (const TargetKey target : parseGoneTargets(lines)) {
            if (m_targets.hasRunFor(now, target, MinTargetAge)) {
                m_violations.report("no running target is declared gone", std::to_string(value(target)) + " by " + name);
            }
        }
    }
}

} // namespace Robinrail::Soak

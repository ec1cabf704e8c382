// SPDX-License-Identifier: MIT
// Soak types: implementation.
#include "soak_types.h"

#include "log.h"

#include <cassert>

namespace Robinrail::Soak {

void Violations::report(std::string_view invariant, const std::string &detail)
{
    ++m_count;
    LogLine(LogLevel::Error, "promise-broken").with("promise", invariant).with("detail", detail);
}

std::size_t Violations::count() const
{
    return m_count;
}

void FaultTracker::begin(TimePoint /*now*/, std::uint32_t address)
{
    ++m_nodeFaults[address].active;
}

void FaultTracker::end(TimePoint now, std::uint32_t address)
{
    NodeFaults &node = m_nodeFaults[address];
    assert(node.active > 0);
    --node.active;
    node.lastEnd = now;
}

bool FaultTracker::recentlyFaulty(TimePoint now, std::uint32_t address) const
{
    const auto at = m_nodeFaults.find(address);
    return at != m_nodeFaults.end() && (at->second.active > 0 || now - at->second.lastEnd < FaultGracePeriod);
}

bool FaultTracker::replicaQuorumHealthy(TimePoint now, const Topology &topology) const
{
    std::size_t faulty = 0;
    for (std::size_t i = 0; i < topology.replicas; ++i) {
        faulty += recentlyFaulty(now, topology.replica(i)) ? 1 : 0;
    }
    return faulty * 2 < topology.replicas;
}

} // namespace Robinrail::Soak

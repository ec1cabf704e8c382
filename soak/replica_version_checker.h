// SPDX-License-Identifier: MIT
// Replica version checker: polls the routing version in force at each replica and compares it with the acknowledged ones.
#pragma once

#include "soak_types.h"

#include <deque>
#include <optional>
#include <string_view>

namespace Robinrail::Soak {

// The routing version in the metrics of a replica; empty if they have none.
std::optional<std::uint64_t> parseRoutingVersion(std::string_view metrics);

// The version that each replica must have reached by now: the highest one acknowledged at least ApplyDeadline ago.
class AcknowledgedVersions
{
public:
    void record(TimePoint now, std::uint64_t acknowledged);
    std::uint64_t requiredVersion(TimePoint now);

private:
    struct Acknowledged {
        TimePoint at;
        std::uint64_t version = 0;
    };
    std::deque<Acknowledged> m_recent; // Oldest first.
    std::uint64_t m_requiredVersion = 0;
};

class ReplicaVersionChecker
{
public:
    ReplicaVersionChecker(boost::asio::io_context &io, const Topology &topology, const FaultTracker &faults, Violations &violations);

    // `acknowledged`: the highest version acknowledged to an operator.
    void tick(TimePoint now, std::uint64_t acknowledged);

    // Answers that were compared; those of replicas with a recent fault are not.
    std::size_t checkedAnswers() const;

private:
    void queryReplica(TimePoint now, std::size_t replica);
    void checkVersion(TimePoint queriedAt, std::size_t replica, std::uint64_t requiredVersion, std::uint64_t version);

    boost::asio::io_context &m_io;
    Topology m_topology;
    const FaultTracker &m_faults;
    Violations &m_violations;
    AcknowledgedVersions m_versions;
    TimePoint m_nextQueryAt;
    std::size_t m_checkedAnswers = 0;
};

} // namespace Robinrail::Soak

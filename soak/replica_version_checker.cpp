// SPDX-License-Identifier: MIT
// Replica version checker: implementation.
#include "replica_version_checker.h"

#include "http.h"

#include <charconv>

namespace Robinrail::Soak {

namespace {

constexpr Duration QueryInterval = milliseconds(250);
constexpr milliseconds QueryTimeout{1000};

} // namespace

std::optional<std::uint64_t> parseRoutingVersion(std::string_view metrics)
{
    constexpr std::string_view Name = "\nrobinrail_routing_version ";
    const std::size_t at = metrics.find(Name);
    if (at == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string_view number = metrics.substr(at + Name.size());
    std::uint64_t version = 0;
    const auto read = std::from_chars(number.data(), number.data() + number.size(), version);
    return read.ec == std::errc() ? std::optional(version) : std::nullopt;
}

void AcknowledgedVersions::record(TimePoint now, std::uint64_t acknowledged)
{
    if (acknowledged > (m_recent.empty() ? m_requiredVersion : m_recent.back().version)) {
        m_recent.push_back({now, acknowledged});
    }
}

std::uint64_t AcknowledgedVersions::requiredVersion(TimePoint now)
{
    while (!m_recent.empty() && now - m_recent.front().at >= ApplyDeadline) {
        m_requiredVersion = m_recent.front().version;
        m_recent.pop_front();
    }
    return m_requiredVersion;
}

ReplicaVersionChecker::ReplicaVersionChecker(boost::asio::io_context &io, const Topology &topology, const FaultTracker &faults, Violations &violations)
    : m_io(io)
    , m_topology(topology)
    , m_faults(faults)
    , m_violations(violations)
{
}

void ReplicaVersionChecker::tick(TimePoint now, std::uint64_t acknowledged)
{
    m_versions.record(now, acknowledged);
    if (now < m_nextQueryAt) {
        return;
    }
    m_nextQueryAt = now + QueryInterval;
    for (std::size_t replica = 0; replica < m_topology.replicas; ++replica) {
        queryReplica(now, replica);
    }
}

void ReplicaVersionChecker::queryReplica(TimePoint now, std::size_t replica)
{
    const HttpRequest request{"GET", "/metrics", {}, {}, {}};
    const std::uint64_t requiredVersion = m_versions.requiredVersion(now);
    startHttpRequest(m_io,
                     {m_topology.replica(replica), Topology::ControlPort},
                     request,
                     QueryTimeout,
                     [this, now, replica, requiredVersion](const std::optional<HttpResponse> &reply) {
                         if (const auto version = reply ? parseRoutingVersion(reply->body) : std::nullopt) {
                             checkVersion(now, replica, requiredVersion, *version);
                         }
                     });
}

// Checks only replicas without a fault within FaultGracePeriod, and only if a majority of all replicas had none either.
void ReplicaVersionChecker::checkVersion(TimePoint queriedAt, std::size_t replica, std::uint64_t requiredVersion, std::uint64_t version)
{
    const TimePoint now = monotonicNow();
    const std::uint32_t address = m_topology.replica(replica);
    if (m_faults.recentlyFaulty(queriedAt, address) || m_faults.recentlyFaulty(now, address) || !m_faults.replicaQuorumHealthy(queriedAt, m_topology)) {
        return;
    }
    ++m_checkedAnswers;
    if (version < requiredVersion) {
        m_violations.report("a replica has reached the acknowledged version",
                            "replica " + std::to_string(replica) + " has version " + std::to_string(version) + ", expected at least "
                                + std::to_string(requiredVersion));
    }
}

std::size_t ReplicaVersionChecker::checkedAnswers() const
{
    return m_checkedAnswers;
}

} // namespace Robinrail::Soak

// SPDX-License-Identifier: MIT
// Foreign writer: another system's simulated processes on the targets' hosts, which announce themselves to the replicas by
// mistake. The ids are their own, the addresses are those of the targets. The service is one that no document names or, in later
// seeds, that of the targets in an announcement that lacks a member or has an invalid one.
#pragma once

#include "http.h"
#include "soak_types.h"

#include <string>
#include <vector>

namespace Robinrail::Soak {

class ForeignWriter
{
public:
    // `knownServices`: half of the processes name a known service.
    ForeignWriter(boost::asio::io_context &io, const Topology &topology, std::uint64_t seed, bool knownServices);

    // Sends the announcements that are due. Their answers are ignored.
    void tick(TimePoint now);

    std::size_t announcements() const;

private:
    struct Process {
        TargetRecord record;
        TimePoint nextAnnounceAt;
        TimePoint endAt; // A process with a new id then follows.
    };
    void startProcess(TimePoint now, Process &process);
    std::string randomBody(const TargetRecord &record);
    std::string invalidBody(const std::string &complete);

    boost::asio::io_context &m_io;
    Topology m_topology;
    bool m_knownServices;
    Random m_random;
    std::vector<Process> m_processes; // One at each target's address.
    std::uint64_t m_processesStarted = 0;
    std::size_t m_announcements = 0;
};

} // namespace Robinrail::Soak

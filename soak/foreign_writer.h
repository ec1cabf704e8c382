// SPDX-License-Identifier: MIT
// Foreign writer: another system's simulated processes on the targets' hosts, which announce themselves to the replicas by
// mistake. The ids are their own, the service is one that no document names, the addresses are those of the targets.
#pragma once

#include "http.h"
#include "soak_types.h"

#include <string>
#include <vector>

namespace Robinrail::Soak {

class ForeignWriter
{
public:
    ForeignWriter(boost::asio::io_context &io, const Topology &topology, std::uint64_t seed);

    // Sends the announcements that are due. Their answers are ignored.
    void tick(TimePoint now);

    std::size_t announcements() const;

private:
    struct Process {
        TargetRecord record;
        TimePoint nextAnnounceAt;
        TimePoint endAt; // A process with a new id then follows.
    };
    std::string randomBody(const TargetRecord &record);

    boost::asio::io_context &m_io;
    Topology m_topology;
    Random m_random;
    std::vector<Process> m_processes; // One at each target's address.
    std::uint64_t m_processesStarted = 0;
    std::size_t m_announcements = 0;
};

} // namespace Robinrail::Soak

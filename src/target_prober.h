// SPDX-License-Identifier: MIT
// Target prober: a replica's connections to targets that balancers report as silent.
#pragma once

#include "standstill_watch.h"
#include "target_probe.h"

#include <boost/asio/io_context.hpp>

#include <functional>

namespace Robinrail {

class TargetProber
{
public:
    explicit TargetProber(boost::asio::io_context &io);

    // A balancer reported a target. Tries to connect to it once there are enough reports, unless it was tried a moment ago,
    // and keeps it in mind if that fails: nobody answers in time, or the machine refuses. Nothing is sent on the
    // connection.
    void reported(TimePoint now, const ReportedTarget &target);

    // The process runs. Call it at each tick: a probe during which it did not run says nothing.
    void tick(TimePoint now);

    // The targets that were found unreachable since the last call. None as long as no target ever answered a probe of
    // this process: where targets take no connections at all, an unanswered one says nothing.
    std::vector<TargetKey> takeUnreachable();

    std::uint64_t probes() const;

private:
    void ended(TargetKey key, std::uint64_t standstills, bool answered);

    boost::asio::io_context &m_io;
    ProbeSchedule m_schedule;
    TimePoint m_lastTick;
    std::uint64_t m_standstills = 0;
    bool m_anyAnswered = false; // Targets here do take connections.
    std::vector<TargetKey> m_unreachable;
    std::uint64_t m_probes = 0;
};

} // namespace Robinrail

// SPDX-License-Identifier: MIT
// Target prober: tries to connect to targets that balancers report as silent.
#pragma once

#include "stall_detector.h"
#include "target_probe.h"

#include <boost/asio/io_context.hpp>

#include <functional>

namespace Robinrail {

class TargetProber
{
public:
    explicit TargetProber(boost::asio::io_context &io);

    // A balancer reported a target. Connects to it once there are enough reports, unless it was probed recently, and records
    // a failed probe if the connection times out or is refused. Nothing is sent on the connection. A superseded target is
    // not connected to, but recorded after the same time.
    void reported(TimePoint now, const ReportedTarget &target);

    // Call at each tick, to detect that the process was stalled: results of probes during a stall are discarded.
    void tick(TimePoint now);

    // The probes that failed since the last call. Empty until a target has answered a probe of this process: where targets accept
    // no connections at all, a failed probe means nothing.
    std::vector<FailedProbe> takeFailed();

    // The superseded targets whose time has ended since the last call. The caller must check that they have not refuted it meanwhile.
    std::vector<TargetLifetime> takeSuperseded();

    std::uint64_t probes() const;

private:
    void connect(const ReportedTarget &target);
    void awaitSuperseded(const TargetLifetime &lifetime);
    void ended(const TargetLifetime &lifetime, std::uint64_t standstills, const boost::system::error_code &error);

    boost::asio::io_context &m_io;
    ProbeSchedule m_schedule;
    TimePoint m_lastTick;
    std::uint64_t m_standstills = 0;
    bool m_anyAnswered = false; // At least one target has accepted a connection.
    std::vector<FailedProbe> m_failed;
    std::vector<TargetLifetime> m_superseded;
    std::uint64_t m_probes = 0;
};

} // namespace Robinrail

// SPDX-License-Identifier: MIT
// Target probe: decides, without I/O, when a target that does not answer on open flows is gone.
//
// When targets lose power, packets of their open flows can't be sent anywhere else. Until the failure is certain, a second or
// more after it, each such flow costs its caller one request that waits until its deadline. The next request on an idle flow
// need not be lost: once the target is known to be gone, its flows are reset, and the caller opens another one.
//
// Resetting a flow of a live target would break it, so all of the following must hold. Balancers saw data of open flows
// retransmitted, twice or more (once if the target's announcement is overdue), or an opening packet once, without any sign of
// life since. Then one more replica than could be wrong at the same time tried to connect to the target and got no answer
// within many round trips. And the balancer that resets the flows has forwarded no packet meanwhile that shows the target to
// be alive. A target that is slow or overloaded still accepts a connection, because its kernel does that.
//
// A target that drains may have stopped listening for connections while it keeps its flows. It is probed only if its announcement is
// overdue, and a refused connection proves nothing there.
//
// At the address of a superseded target another one may accept the connection. There the replicas wait as long as a probe takes,
// and find the target unreachable if none of them has heard it: its silence takes the place of the unanswered connection. Since
// its calls may have failed, one report is never enough there.
#pragma once

#include "loss_tolerance.h"
#include "target_record.h"

#include <algorithm>
#include <map>
#include <vector>

namespace Robinrail {

// A replica probes the same target at most once in this time.
inline constexpr Duration MinProbeInterval = std::chrono::milliseconds(500);

// Reports within MinProbeInterval that trigger a probe; a single lost packet of an open flow causes one report.
inline constexpr int ReportsForProbe = 2;

// Maximum number of reports that a balancer sends per batch of received packets.
inline constexpr std::size_t MaxReportsPerTick = 64;

// A target that has not accepted a connection after this time is unreachable from here. Data centres are up to 20 ms apart,
// so this is at least seven round trips.
inline constexpr Duration ProbeTimeout = std::chrono::milliseconds(300);

// Maximum number of concurrent probes of one replica. Further silent targets are probed after a later report.
inline constexpr std::size_t MaxTargetProbes = 256;

// How long the result of a probe is valid: probes that are triggered by the same report end within ProbeTimeout of each
// other.
inline constexpr Duration ProbeResultLifetime = std::chrono::milliseconds(1000);

// Results that a node reads within this time after a long stall are dropped: they may have waited in its sockets while the target
// came back. Enough to read what has arrived during the stall.
inline constexpr Duration StaleResultWindow = std::chrono::milliseconds(300);

// A balancer that saw a sign of life of a target within this time does not take it for gone, whatever the replicas report:
// the time from the first retransmission of its data to the end of the probes.
inline constexpr Duration RecentActivityWindow = std::chrono::milliseconds(400);

// A target whose open flows got no answer, with what the replica knows about it.
struct ReportedTarget {
    TargetKey key{};
    std::uint64_t born = 0; // See TargetRecord.
    Endpoint address;
    bool overdue = false; // Its announcement is overdue as well. Then one report is enough: where hundreds of balancers share
                          // the load, a target has too few flows for a second report in time.
    bool superseded = false; // Another target answers at its address, so a connection proves nothing.

    int reportsForProbe() const
    {
        return overdue && !superseded ? 1 : ReportsForProbe;
    }
};

// A probe that was not answered by a connection.
struct FailedProbe {
    TargetLifetime lifetime;
    bool refused = false; // The target's VM answered that nobody listens at the address; otherwise nothing answered in time.

    bool operator==(const FailedProbe &) const = default;

    // Whether it is evidence that the target is gone. One that drains may have stopped listening while it keeps its flows.
    bool isEvidence(bool draining) const
    {
        return !refused || !draining;
    }
};

// Decides which targets a replica probes, and when.
class ProbeSchedule
{
public:
    // A target was reported. Returns whether to probe it now; if so, ended() must be called afterwards.
    bool reported(TimePoint now, const ReportedTarget &target)
    {
        const TargetKey key = target.key;
        std::erase_if(m_probes, [now](const auto &each) {
            return !each.second.inProgress && now - each.second.since >= MinProbeInterval;
        });
        if (m_probes.size() >= MaxTargetProbes && !m_probes.contains(key)) {
            return false;
        }
        Probe &probe = m_probes.try_emplace(key, Probe{now}).first->second;
        if (probe.started || ++probe.reports < target.reportsForProbe()) {
            return false;
        }
        probe = {now, probe.reports, true, true};
        return true;
    }

    void ended(TargetKey key)
    {
        if (const auto probe = m_probes.find(key); probe != m_probes.end()) {
            probe->second.inProgress = false;
        }
    }

private:
    struct Probe {
        TimePoint since; // Time of the first report, then of the start of the probe.
        int reports = 0;
        bool started = false;
        bool inProgress = false;
    };
    std::map<TargetKey, Probe> m_probes; // In progress, or reported or started within MinProbeInterval.
};

// Collects the replicas' probe results at a balancer.
class ProbeResults
{
public:
    // A target is taken for gone only if so many replicas find it unreachable that a tolerated loss, such as that of a data
    // centre's connectivity, can't explain all of their results.
    explicit ProbeResults(const LossTolerance &tolerance)
        : m_tolerance(tolerance)
    {
    }

    // A replica found a lifetime of a target unreachable. Returns whether that now counts as gone. Results for different lifetimes
    // are not added up: the target may have been down between them.
    bool unreachable(TimePoint now, const ReplicaLocation &prober, const TargetLifetime &lifetime)
    {
        removeOld(now);
        if (m_results.size() >= MaxTargetProbes && !m_results.contains(lifetime)) {
            return false;
        }
        std::map<ReplicaId, Result> &results = m_results[lifetime];
        results[prober.replica] = {now, prober.dataCentre};
        ReplicaLocations holders;
        for (const auto &[replica, result] : results) {
            holders[replica] = result.dataCentre;
        }
        return m_tolerance.isMetBy(holders);
    }

private:
    struct Result {
        TimePoint at;
        DataCentreId dataCentre{};
    };

    void removeOld(TimePoint now)
    {
        for (auto &[key, results] : m_results) {
            std::erase_if(results, [now](const auto &each) {
                return now - each.second.at >= ProbeResultLifetime;
            });
        }
        std::erase_if(m_results, [](const auto &each) {
            return each.second.empty();
        });
    }

    LossTolerance m_tolerance;
    std::map<TargetLifetime, std::map<ReplicaId, Result>> m_results;
};

} // namespace Robinrail

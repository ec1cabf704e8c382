// SPDX-License-Identifier: MIT
// Target probe: what is done about a target that does not answer on open flows, as decisions without I/O.
//
// The pattern that it answers: some targets lose power at once. Packets of their open flows have nowhere else to go, so
// each such flow costs its caller one request that waits until its deadline, up to a second or more after the target's
// end, until the target's silence is certain. The next request on an idle flow need not be lost: once the target is
// known to be gone, its flows are reset, and the caller opens another one.
//
// A reset on a flow whose target lives would break it. What makes the end certain: balancers saw data of open flows
// repeated, twice or more, without any sign of life since; then as many replicas as could be wrong at once, and one more, each tried to
// connect to the target and got no answer within many round trips; and no packet through the balancer that resets
// showed life meanwhile. A target that is slow or full still answers a connection, as its kernel does that.
#pragma once

#include "loss_tolerance.h"
#include "target_record.h"

#include <algorithm>
#include <map>
#include <vector>

namespace Robinrail {

// A replica probes the same target at most once in this time.
inline constexpr Duration ProbePause = std::chrono::milliseconds(500);

// So many reports within ProbePause make a replica probe: a packet that is lost on its way gives one.
inline constexpr int ReportsForProbe = 2;

// Most reports that a balancer hands on in one tick.
inline constexpr std::size_t MaxReportsPerTick = 64;

// A target that has not answered a connection after this is unreachable from here. Data centres are up to 20 ms apart,
// so it is seven round trips or more.
inline constexpr Duration ProbeTimeout = std::chrono::milliseconds(300);

// Probes that one replica has under way. More targets that fall silent at once wait for the next report.
inline constexpr std::size_t MaxTargetProbes = 256;

// What a replica found holds this long: the probes that one report sets off end within the time-out of each other.
inline constexpr Duration ProbeLifetime = std::chrono::milliseconds(1000);

// A target that showed life through a balancer within this time is not taken for gone there, whatever replicas say: the
// time from the first repetition of its data to the end of the probes.
inline constexpr Duration RecentLife = std::chrono::milliseconds(400);

// A target whose open flows got no answer, as a replica knows it.
struct ReportedTarget {
    TargetKey key{};
    Endpoint address;
    bool overdue = false; // It missed its turn to announce itself, too. Then one report is enough: where hundreds of balancers
                          // share the load, each target has too few flows for a second one in time.
};

// Which targets a replica probes, and when.
class ProbeSchedule
{
public:
    // A target was reported. Whether to probe it now; if so, ended() must follow.
    bool reported(TimePoint now, const ReportedTarget &target)
    {
        const TargetKey key = target.key;
        std::erase_if(m_probes, [now](const auto &each) {
            return !each.second.underWay && now - each.second.since >= ProbePause;
        });
        if (m_probes.size() >= MaxTargetProbes && !m_probes.contains(key)) {
            return false;
        }
        Probe &probe = m_probes.try_emplace(key, Probe{now}).first->second;
        if (probe.begun || ++probe.reports < (target.overdue ? 1 : ReportsForProbe)) {
            return false;
        }
        probe = {now, probe.reports, true, true};
        return true;
    }

    void ended(TargetKey key)
    {
        if (const auto probe = m_probes.find(key); probe != m_probes.end()) {
            probe->second.underWay = false;
        }
    }

private:
    struct Probe {
        TimePoint since; // Its first report, then its begin.
        int reports = 0;
        bool begun = false;
        bool underWay = false;
    };
    std::map<TargetKey, Probe> m_probes; // Under way, or reported or begun within ProbePause.
};

// What replicas found, as a balancer collects it.
class ProbeFindings
{
public:
    // So many replicas must find a target unreachable before it is taken for gone that a borne loss, such as the cut of a data
    // centre, can't be what they all saw.
    explicit ProbeFindings(const LossTolerance &borne)
        : m_borne(borne)
    {
    }

    // A replica found this target unreachable. Whether that makes it certain.
    bool unreachable(TimePoint now, const ReplicaLocation &finder, TargetKey key)
    {
        forgetOld(now);
        if (m_findings.size() >= MaxTargetProbes && !m_findings.contains(key)) {
            return false;
        }
        std::map<ReplicaId, Finding> &findings = m_findings[key];
        findings[finder.replica] = {now, finder.dataCentre};
        Witnesses finders;
        for (const auto &[replica, finding] : findings) {
            finders[replica] = finding.dataCentre;
        }
        return m_borne.isOutlivedBy(finders);
    }

private:
    struct Finding {
        TimePoint at;
        DataCentreId dataCentre{};
    };

    void forgetOld(TimePoint now)
    {
        for (auto &[key, findings] : m_findings) {
            std::erase_if(findings, [now](const auto &each) {
                return now - each.second.at >= ProbeLifetime;
            });
        }
        std::erase_if(m_findings, [](const auto &each) {
            return each.second.empty();
        });
    }

    LossTolerance m_borne;
    std::map<TargetKey, std::map<ReplicaId, Finding>> m_findings;
};

} // namespace Robinrail

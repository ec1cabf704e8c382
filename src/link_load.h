// SPDX-License-Identifier: MIT
// Link load: refuses new flows while the balancer's own network link is nearly full, so that packets of open flows are not lost.
#pragma once

#include "priority_rate_limiter.h"

#include <cstddef>

namespace Robinrail {

// Share of the own link from which on new flows are refused. The rest is for packets of open flows and for bursts: at 2 Mbit/s the
// bytes of a window vary by a sixth, as it holds some 30 flows. With 0.85, a link used up to 113% in the first second of an overload
// and lost readiness probes, so that the fabric excluded the balancer and sent its flows to the others.
inline constexpr double MaxLinkShare = 0.7;

// From this share on packets may be lost in bursts within the window.
inline constexpr double FullLinkShare = 0.85;

// While the link is full, the bytes that were lost before it are not known, so a limit falls to this part per window instead of in
// proportion to the excess.
inline constexpr double FullLinkDecrease = 0.7;

// Packets that a full link lost are retransmitted after 0.2 to 1.6 s.
inline constexpr Duration LinkLossMemory = std::chrono::milliseconds(1600);

// Measures the bytes on the own link against its capacity.
class LinkLoad
{
public:
    // Capacity in bytes per second in each direction; 0: not known, the link is never full.
    explicit LinkLoad(double bytesPerSecond);

    void recordBytes(std::size_t received, std::size_t sent);

    // Whether a new flow may be admitted. The caller passes the outcome to record().
    bool allows(TimePoint now, const AdmissionRequest &request) const;
    void record(const AdmissionRequest &request, bool admitted);

    void tick(TimePoint now);

    // Whether packets may have been lost on the link lately, so that a missing answer says nothing about its target.
    bool mayHaveLost(TimePoint now) const;

    // Larger of the shares used in both directions in the last window.
    double used() const;
    const PriorityRateLimiter &limiter() const;

private:
    void moveLimit(Duration length, double usedBefore);

    double m_capacity;
    PriorityRateLimiter m_limiter;
    TimePoint m_windowStart;
    std::size_t m_received = 0;
    std::size_t m_sent = 0;
    double m_used = 0;
    TimePoint m_lossUntil;
};

} // namespace Robinrail

// SPDX-License-Identifier: MIT
// Link load: refuses new flows while the balancer's own network link is nearly full, so that packets of open flows are not lost.
#pragma once

#include "priority_rate_limiter.h"

#include <cstddef>

namespace Robinrail {

// Share of the own link from which on new flows are refused. The rest is for packets of open flows and for bursts within a
// window, as packets beyond the capacity of the link are lost.
inline constexpr double MaxLinkShare = 0.85;

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

    // Larger of the shares used in both directions in the last window.
    double used() const;
    const PriorityRateLimiter &limiter() const;

private:
    double m_capacity;
    PriorityRateLimiter m_limiter;
    TimePoint m_windowStart;
    std::size_t m_received = 0;
    std::size_t m_sent = 0;
    double m_used = 0;
};

} // namespace Robinrail

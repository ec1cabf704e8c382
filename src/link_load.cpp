// SPDX-License-Identifier: MIT
// Link load: implementation.
#include "link_load.h"

#include "duration_math.h"

#include <algorithm>

namespace Robinrail {

namespace {

// A link this full limits new flows after a single window.
constexpr double FullLinkShare = 0.95;

// The demand counts at most this many times the limit when the limit rises. With more, the reserve of the link would be used.
constexpr double MaxLinkDemand = 1.5;

} // namespace

LinkLoad::LinkLoad(double bytesPerSecond)
    : m_capacity(bytesPerSecond)
{
}

void LinkLoad::recordBytes(std::size_t received, std::size_t sent)
{
    m_received += received;
    m_sent += sent;
}

bool LinkLoad::allows(TimePoint now, const AdmissionRequest &request) const
{
    return m_limiter.allows(now, request);
}

void LinkLoad::record(const AdmissionRequest &request, bool admitted)
{
    m_limiter.record(request, admitted);
}

void LinkLoad::tick(TimePoint now)
{
    const Duration length = now - m_windowStart;
    if (m_capacity <= 0 || length < AdmissionWindow) {
        return;
    }
    const bool wasFull = m_used > MaxLinkShare;
    m_used = static_cast<double>(std::max(m_received, m_sent)) / (m_capacity * detail::toSeconds(length));
    m_received = 0;
    m_sent = 0;
    m_windowStart = now;
    m_limiter.endWindow(length);
    if (m_limiter.limit()) {
        m_limiter.adjust(length, m_used / MaxLinkShare, MaxLinkDemand, 1);
        if (m_limiter.calm() >= CalmTime) {
            m_limiter.setLimit(std::nullopt);
        }
    } else if (m_used > MaxLinkShare && (wasFull || m_used > FullLinkShare)) {
        m_limiter.lower(MaxLinkShare / m_used);
    }
}

double LinkLoad::used() const
{
    return m_used;
}

const PriorityRateLimiter &LinkLoad::limiter() const
{
    return m_limiter;
}

} // namespace Robinrail

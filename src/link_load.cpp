// SPDX-License-Identifier: MIT
// Link load: implementation.
#include "link_load.h"

#include "duration_math.h"

#include <algorithm>
#include <cmath>

namespace Robinrail {

namespace {

// Largest steps of a limit per window, as parts of it.
constexpr double MaxLinkIncrease = 1.15;
constexpr double MaxLinkDecrease = 0.85;

// Least use that is told apart; without a bound, an idle link would divide by zero.
constexpr double MinLinkShare = 0.01;

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
    const double usedBefore = m_used;
    m_used = static_cast<double>(std::max(m_received, m_sent)) / (m_capacity * detail::toSeconds(length));
    m_received = 0;
    m_sent = 0;
    m_windowStart = now;
    m_limiter.endWindow(length);
    if (m_used > FullLinkShare) {
        m_lossUntil = now + LinkLossMemory;
    }
    if (m_limiter.limit()) {
        moveLimit(length, usedBefore);
    } else if (m_used > MaxLinkShare && (usedBefore > MaxLinkShare || m_used > FullLinkShare)) {
        m_limiter.lower(MaxLinkShare / m_used);
    }
}

// Unlike the queues of targets, the use of the link is measured, so a limit moves in proportion to it. It rises by half of the way per
// window, as some of the bytes are of flows that were admitted before, and falls at once, as lost packets cost more than refusals.
void LinkLoad::moveLimit(Duration length, double usedBefore)
{
    if (std::min(m_used, usedBefore) > FullLinkShare) {
        m_limiter.lower(FullLinkDecrease / FirstLimitShare);
        return;
    }
    const double room = MaxLinkShare / std::max(m_used, MinLinkShare);
    m_limiter.scale(length, room < 1 ? std::max(room, MaxLinkDecrease) : std::min(std::sqrt(room), MaxLinkIncrease));
    if (m_limiter.calm() >= CalmTime) {
        m_limiter.setLimit(std::nullopt);
    }
}

bool LinkLoad::mayHaveLost(TimePoint now) const
{
    return now < m_lossUntil;
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

// SPDX-License-Identifier: MIT
// Priority rate limiter: implementation.
#include "priority_rate_limiter.h"

#include "duration_math.h"
#include "hash.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>

namespace Robinrail {

using detail::toSeconds;

namespace {

// Part of the demand that can be admitted if callers return this often, at most. It bounds the estimate of the demand.
constexpr double MaxAttempts = 3;

// Weight of the newest window in the demand and in the admitted rate. The windows of a balancer hold about 20 arrivals, so their
// counts vary by a fifth.
constexpr double NewestWeight = 0.4;

// The same where the demand rises. At the start of an overload each window's returns add to the demand of the next, and a late
// estimate admits more than the limit.
constexpr double RisingWeight = 0.7;

std::size_t level(std::uint8_t priority)
{
    return std::min(priority, MaxPriority);
}

// Place of a caller in the order of admission, in [0, 1). Each caller's period starts at another time, so that the admitted
// rate does not jump at a common one.
double callerPlace(TimePoint now, std::uint64_t callerHash, std::uint64_t salt)
{
    constexpr double Scale = 0x1p-53;
    const auto rotation = static_cast<std::uint64_t>(AdmissionRotation.count());
    const std::uint64_t phase = hashPair(callerHash, 0) % rotation;
    const std::uint64_t period = (static_cast<std::uint64_t>(now.time_since_epoch().count()) + phase) / rotation;
    return static_cast<double>(hashPair(hashPair(callerHash, salt), period) >> 11) * Scale;
}

} // namespace

PriorityRateLimiter::PriorityRateLimiter(std::uint64_t salt)
    : m_salt(salt)
{
    m_shares.fill(1);
}

bool PriorityRateLimiter::allows(TimePoint now, const AdmissionRequest &request) const
{
    const double part = share(request.priority);
    return part >= 1 || (part > 0 && callerPlace(now, request.callerHash, m_salt) < part);
}

void PriorityRateLimiter::record(const AdmissionRequest &request, bool admitted)
{
    m_arrived[level(request.priority)]++;
    m_admitted[level(request.priority)] += admitted ? 1 : 0;
}

void PriorityRateLimiter::endWindow(Duration length)
{
    const double time = std::max(toSeconds(length), 1e-6);
    m_arrivalRate = arrived() / time;
    m_admittedRate += NewestWeight * (admitted() / time - m_admittedRate);
    for (std::size_t i = 0; i < PriorityCount; i++) {
        const double arrivals = m_arrived[i] / time;
        // Refused callers return in the same period and get the same answer. The admitted ones are a known share of all callers,
        // which gives the demand without the returns.
        const double part = m_shares[i];
        const double seen = part > 0 ? m_admitted[i] / time / part : m_demand[i];
        m_demand[i] += (seen > m_demand[i] ? RisingWeight : NewestWeight) * std::min(1.0, 2 * part) * (seen - m_demand[i]);
        m_demand[i] = std::clamp(m_demand[i], arrivals / MaxAttempts, std::max(arrivals, m_demand[i] * NewestWeight));
    }
    m_arrived = {};
    m_admitted = {};
    updateShares();
}

std::optional<double> PriorityRateLimiter::limit() const
{
    return m_limit;
}

void PriorityRateLimiter::setLimit(std::optional<double> limit)
{
    m_limit = limit;
    m_calm = {};
    updateShares();
}

void PriorityRateLimiter::lower(double remaining)
{
    const double base = m_limit && m_admittedRate >= MinAdmittedRate ? std::min(*m_limit, m_admittedRate) : m_limit.value_or(m_admittedRate);
    setLimit(std::max(MinAdmittedRate, base * std::max(MaxLimitDecrease, FirstLimitShare * remaining)));
}

void PriorityRateLimiter::adjust(Duration length, double used, double maxDemand, double overloadFactor)
{
    if (!m_limit) {
        return;
    }
    updateCalm(length);
    const double limit = used > 1 ? std::min(*m_limit, std::max(demand(), MinAdmittedRate)) : *m_limit;
    const double decrease = LimitDecrease * (used > 1 ? overloadFactor : 1);
    const double pressure = std::max(used - IdleShare, 0.0) / (1 - IdleShare);
    const double step = used < IdleShare ? MaxIdleLimitIncrease * limit
                                         : LimitIncrease * limit * std::sqrt(std::min(demand() / limit, maxDemand)) - decrease * pressure * limit;
    const double highest = used < IdleShare ? MaxIdleLimitIncrease : MaxLimitIncrease;
    const double windows = toSeconds(length) / toSeconds(AdmissionWindow);
    m_limit = limit;
    changeLimit(limit + windows * std::clamp(step, -MaxLimitDecrease * limit / windows, highest * limit));
}

void PriorityRateLimiter::scale(Duration length, double factor)
{
    if (m_limit) {
        updateCalm(length);
        changeLimit(*m_limit * factor);
    }
}

void PriorityRateLimiter::updateCalm(Duration length)
{
    m_calm = demand() < CalmShare * *m_limit ? m_calm + length : Duration{};
}

// Changes an existing limit. One far above the demand would take long to fall when the demand rises again.
void PriorityRateLimiter::changeLimit(double limit)
{
    m_limit = std::max(MinAdmittedRate, limit > *m_limit ? std::max(*m_limit, std::min(limit, 2 * demand())) : limit);
    updateShares();
}

Duration PriorityRateLimiter::calm() const
{
    return m_calm;
}

double PriorityRateLimiter::admittedRate() const
{
    return m_admittedRate;
}

double PriorityRateLimiter::arrivalRate() const
{
    return m_arrivalRate;
}

double PriorityRateLimiter::demand() const
{
    return std::accumulate(m_demand.begin(), m_demand.end(), 0.0);
}

PriorityRates PriorityRateLimiter::refusedDemand() const
{
    PriorityRates refused{};
    for (std::size_t i = 0; i < PriorityCount; i++) {
        refused[i] = m_demand[i] * (1 - m_shares[i]);
    }
    return refused;
}

void PriorityRateLimiter::assumeDemand(const PriorityRates &demand)
{
    m_demand = demand;
    updateShares();
}

bool PriorityRateLimiter::refuses(std::uint8_t priority) const
{
    return share(priority) < 1;
}

bool PriorityRateLimiter::refusesAny() const
{
    for (std::size_t i = 0; i < PriorityCount; i++) {
        if (m_demand[i] > 0 && m_shares[i] < 1) {
            return true;
        }
    }
    return false;
}

std::uint32_t PriorityRateLimiter::arrived() const
{
    return std::accumulate(m_arrived.begin(), m_arrived.end(), 0U);
}

std::uint32_t PriorityRateLimiter::admitted() const
{
    return std::accumulate(m_admitted.begin(), m_admitted.end(), 0U);
}

double PriorityRateLimiter::share(std::uint8_t priority) const
{
    return m_shares[level(priority)];
}

void PriorityRateLimiter::updateShares()
{
    double left = m_limit.value_or(std::numeric_limits<double>::infinity());
    for (std::size_t i = 0; i < PriorityCount; i++) {
        m_shares[i] = left <= 0 ? 0 : std::min(left / std::max(m_demand[i], MinAdmittedRate / 2), 1.0);
        left = std::max(left - m_demand[i], 0.0);
    }
}

} // namespace Robinrail

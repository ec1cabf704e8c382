// SPDX-License-Identifier: MIT
// Pool admission: implementation.
#include "pool_admission.h"

#include "duration_math.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Robinrail {

using detail::mean;
using detail::scaled;
using detail::smallestKnown;
using detail::toSeconds;

namespace {

// The demand counts at most this many times the limit when the limit rises. With more, large overloads would be allowed longer
// answers, and overflow would push the callers of another data centre aside.
constexpr double MaxDemand = 8;
constexpr double MaxOverflowDemand = 1.5;

// Beyond the overload, overflow falls this many times faster than the limits of the data centre's own balancers.
constexpr double OverflowDecrease = 3;

// An overflow pool grows fast up to this part of what makes it overloaded.
constexpr double MaxGrowthShare = 0.8;

// Length of a sample of the usual answer time with few answers.
constexpr Duration LongUsualTimeSample = std::chrono::seconds(4);

// Weight of the change since the window before. The answers of a window are of flows that were admitted up to a window before,
// so that the limit would otherwise go on falling while the queues already shrink.
constexpr double TrendWeight = 0.75;

} // namespace

PoolAdmission::PoolAdmission(std::uint64_t salt)
    : m_limiter(salt)
{
}

bool PoolAdmission::allows(TimePoint now, const AdmissionRequest &request) const
{
    return m_limiter.allows(now, request);
}

void PoolAdmission::record(TimePoint now, const AdmissionRequest &request, bool admitted)
{
    noteUse(now);
    m_lastArrival = now;
    m_limiter.record(request, admitted);
}

void PoolAdmission::recordAnswer(TimePoint now, Duration answerTime, const AnswerTimes &times)
{
    noteUse(now);
    if (answerTime < scaled(times.usual, RejectionAnswerShare)) {
        m_window.rejections++;
        m_window.rejectionSum += answerTime;
        return;
    }
    m_window.lowest = smallestKnown(m_window.lowest, answerTime);
    m_window.answers++;
    m_window.sum += times.max > Duration{} ? std::min(answerTime, scaled(times.max, MaxAnswerExcess)) : answerTime;
}

void PoolAdmission::startOverflow(double limit, const PriorityRates &demand)
{
    if (!m_limiter.limit()) {
        m_limiter.setLimit(std::max(limit, MinAdmittedRate));
        m_limiter.assumeDemand(demand);
        m_overflow = true;
        m_growing = true;
    }
}

std::optional<WindowAnswers> PoolAdmission::tick(TimePoint now, const AnswerTimes &times)
{
    const Duration length = now - m_windowStart;
    const std::uint32_t answers = m_window.answers + m_window.rejections;
    if (length < AdmissionWindow) {
        return std::nullopt;
    }
    const bool used = answers > 0 || m_limiter.arrived() > 0;
    if (used && answers < MinWindowAnswers && length < (answers > 0 ? MaxAdmissionWindow : std::max(MaxAdmissionWindow, times.silence))) {
        return std::nullopt;
    }
    const double usedBefore = m_used;
    m_meanAnswerTime = mean(m_window.sum, m_window.answers);
    m_rejectedShare = answers > 0 ? static_cast<double>(m_window.rejections) / answers : 0;
    m_used = m_rejectedShare + (times.max > Duration{} ? toSeconds(m_meanAnswerTime) / toSeconds(times.max) : 0);
    m_overloaded = isOverloaded(times);
    m_limiter.endWindow(length);
    moveLimit(length, usedBefore);
    if (m_overflow && now - m_lastArrival >= OverflowRetention) {
        m_limiter.setLimit(std::nullopt);
        m_overflow = false;
        m_growing = false;
    }
    WindowAnswers window = std::exchange(m_window, {});
    m_windowStart = now;
    if (m_overloaded || m_limiter.limit()) {
        // The mean contains waiting here, but some answers have not waited. If even the fastest one takes longer than usual, the
        // service has become slower. Without these windows, it would be refused for good.
        window.sum = window.answers * std::max(times.usual, window.lowest);
        window.rejections = 0;
    }
    return window.answers + window.rejections > 0 && (times.usual > Duration{} || !m_overloaded) ? std::optional(window) : std::nullopt;
}

bool PoolAdmission::overloaded() const
{
    return m_overloaded;
}

bool PoolAdmission::limiting() const
{
    return m_limiter.refusesAny();
}

const PriorityRateLimiter &PoolAdmission::limiter() const
{
    return m_limiter;
}

Duration PoolAdmission::meanAnswerTime() const
{
    return m_meanAnswerTime;
}

double PoolAdmission::rejectedShare() const
{
    return m_rejectedShare;
}

TimePoint PoolAdmission::lastUse() const
{
    return m_lastUse;
}

void PoolAdmission::noteUse(TimePoint now)
{
    if (m_lastUse == TimePoint{}) {
        m_windowStart = now;
    }
    m_lastUse = now;
}

bool PoolAdmission::isOverloaded(const AnswerTimes &times) const
{
    const std::uint32_t answers = m_window.answers + m_window.rejections;
    if (answers == 0) {
        return m_limiter.admitted() >= (m_limiter.limit() ? 1 : MinWindowAnswers);
    }
    if (times.max > Duration{} && m_meanAnswerTime > times.max) {
        return true;
    }
    return m_rejectedShare > MaxRejectedShare && m_meanAnswerTime > scaled(times.usual, RejectionWaitFactor);
}

void PoolAdmission::moveLimit(Duration length, double usedBefore)
{
    const std::uint32_t answers = m_window.answers + m_window.rejections;
    m_overloadedAnswers = m_overloaded ? m_overloadedAnswers + answers : 0;
    if (m_overloaded && answers == 0) {
        m_growing = false;
        m_limiter.lower(MaxLimitDecrease);
        return;
    }
    if (!m_limiter.limit()) {
        if (m_overloadedAnswers >= FirstLimitAnswers) {
            if (m_limiter.admittedRate() < MinAdmittedRate) {
                // Flows that go to any data centre are known by their answers only.
                m_limiter.setLimit(answers / toSeconds(length));
            }
            m_limiter.lower(std::min(1 - m_rejectedShare, 1 / std::sqrt(std::max(m_used, 1.0))));
        }
        return;
    }
    m_growing = m_growing && !m_overloaded && m_used < MaxGrowthShare;
    if (m_growing) {
        m_limiter.setLimit(std::max(*m_limiter.limit(), std::min(*m_limiter.limit() * OverflowGrowth, 2 * m_limiter.demand())));
        return;
    }
    m_limiter.adjust(length, m_used + TrendWeight * (m_used - usedBefore), m_overflow ? MaxOverflowDemand : MaxDemand, m_overflow ? OverflowDecrease : 1);
    if (!m_overflow && m_limiter.calm() >= CalmTime) {
        m_limiter.setLimit(std::nullopt);
    }
}

void UsualAnswerTime::record(TimePoint now, const WindowAnswers &window)
{
    if (m_answers == 0) {
        m_sampleStart = now - AdmissionWindow;
    }
    // Mostly fast answers in a window without overload are no rejections: the service has become faster.
    const bool faster = window.rejections > MaxRejectedShare * (window.answers + window.rejections);
    m_answers += window.answers + (faster ? window.rejections : 0);
    m_sum += window.sum + (faster ? window.rejectionSum : Duration{});
    m_fastest = smallestKnown(m_fastest, window.lowest);
    const Duration length = now - m_sampleStart;
    const bool enough = (m_answers >= UsualTimeAnswers && length >= UsualTimeSample) || (m_answers >= MinWindowAnswers && length >= LongUsualTimeSample);
    const bool first = get() == Duration{} && m_answers >= MinWindowAnswers;
    if (!enough && !first) {
        return;
    }
    if (now - m_periodStart >= UsualTimePeriod) {
        m_previous = m_lowest;
        m_lowest = {};
        m_periodStart = now;
    }
    const Duration sample = mean(m_sum, m_answers);
    const bool mixed = m_fastest < scaled(sample, RejectionAnswerShare);
    m_lowest = m_mixed && !mixed ? sample : smallestKnown(m_lowest, sample);
    m_mixed = mixed && (m_mixed || first);
    m_answers = 0;
    m_sum = {};
    m_fastest = {};
}

Duration UsualAnswerTime::get() const
{
    return smallestKnown(m_lowest, m_previous);
}

} // namespace Robinrail

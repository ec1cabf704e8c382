// SPDX-License-Identifier: MIT
#include "admission_control.h"

#include "hash.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>

namespace Robinrail {

namespace {

// Part of the demand that can be admitted if callers return this often, at most. It bounds the estimate of the demand.
constexpr double MaxAttempts = 3;

// Weight of the newest window in the demand and in the admitted rate. The windows of a balancer hold about 20 arrivals, so their
// counts vary by a fifth.
constexpr double NewestWeight = 0.4;

// The same where the demand rises. At the start of an overload each window's returns add to the demand of the next, and a late
// estimate admits more than the limit.
constexpr double RisingWeight = 0.7;

// A link this full limits new flows after a single window.
constexpr double FullLinkShare = 0.95;

// The demand counts at most this many times the limit when the limit rises. With more, large overloads would be allowed longer
// answers, overflow would push the callers of another data centre aside, and the reserve of the link would be used.
constexpr double MaxDemand = 8;
constexpr double MaxOverflowDemand = 1.5;
constexpr double MaxLinkDemand = 1.5;

// Beyond the overload, overflow falls this many times faster than the limits of the data centre's own balancers.
constexpr double OverflowDecrease = 3;

// An overflow pool grows fast up to this part of what makes it overloaded.
constexpr double MaxGrowthShare = 0.8;

// Length of a sample of the usual answer time with few answers.
constexpr Duration LongUsualTimeSample = std::chrono::seconds(4);

// Weight of the change since the window before. The answers of a window are of flows that were admitted up to a window before,
// so that the limit would otherwise go on falling while the queues already shrink.
constexpr double TrendWeight = 0.75;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

std::size_t level(std::uint8_t priority)
{
    return std::min(priority, MaxPriority);
}

Duration scaled(Duration duration, double factor)
{
    return Duration(std::llround(static_cast<double>(duration.count()) * factor));
}

Duration mean(Duration sum, std::uint32_t count)
{
    return count > 0 ? sum / count : Duration{};
}

// The smaller of two times of which 0 means unknown.
Duration smallestKnown(Duration first, Duration second)
{
    if (first == Duration{} || second == Duration{}) {
        return std::max(first, second);
    }
    return std::min(first, second);
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

RateLimiter::RateLimiter(std::uint64_t salt)
    : m_salt(salt)
{
    m_shares.fill(1);
}

bool RateLimiter::allows(TimePoint now, const AdmissionRequest &request) const
{
    const double part = share(request.priority);
    return part >= 1 || (part > 0 && callerPlace(now, request.callerHash, m_salt) < part);
}

void RateLimiter::record(const AdmissionRequest &request, bool admitted)
{
    m_arrived[level(request.priority)]++;
    m_admitted[level(request.priority)] += admitted ? 1 : 0;
}

void RateLimiter::endWindow(Duration length)
{
    const double time = std::max(seconds(length), 1e-6);
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

std::optional<double> RateLimiter::limit() const
{
    return m_limit;
}

void RateLimiter::setLimit(std::optional<double> limit)
{
    m_limit = limit;
    m_calm = {};
    updateShares();
}

void RateLimiter::lower(double remaining)
{
    const double base = m_limit && m_admittedRate >= MinAdmittedRate ? std::min(*m_limit, m_admittedRate) : m_limit.value_or(m_admittedRate);
    setLimit(std::max(MinAdmittedRate, base * std::max(MaxLimitDecrease, FirstLimitShare * remaining)));
}

void RateLimiter::adjust(Duration length, double used, double maxDemand, double overloadFactor)
{
    if (!m_limit) {
        return;
    }
    m_calm = demand() < CalmShare * *m_limit ? m_calm + length : Duration{};
    const double limit = used > 1 ? std::min(*m_limit, std::max(demand(), MinAdmittedRate)) : *m_limit;
    const double decrease = LimitDecrease * (used > 1 ? overloadFactor : 1);
    const double pressure = std::max(used - IdleShare, 0.0) / (1 - IdleShare);
    const double step = used < IdleShare ? MaxIdleLimitIncrease * limit
                                         : LimitIncrease * limit * std::sqrt(std::min(demand() / limit, maxDemand)) - decrease * pressure * limit;
    const double highest = used < IdleShare ? MaxIdleLimitIncrease : MaxLimitIncrease;
    const double windows = seconds(length) / seconds(AdmissionWindow);
    const double next = limit + windows * std::clamp(step, -MaxLimitDecrease * limit / windows, highest * limit);
    // A limit far above the demand would take long to fall when the demand rises again.
    m_limit = std::max(MinAdmittedRate, next > limit ? std::max(limit, std::min(next, 2 * demand())) : next);
    updateShares();
}

Duration RateLimiter::calm() const
{
    return m_calm;
}

double RateLimiter::admittedRate() const
{
    return m_admittedRate;
}

double RateLimiter::arrivalRate() const
{
    return m_arrivalRate;
}

double RateLimiter::demand() const
{
    return std::accumulate(m_demand.begin(), m_demand.end(), 0.0);
}

PriorityRates RateLimiter::refusedDemand() const
{
    PriorityRates refused{};
    for (std::size_t i = 0; i < PriorityCount; i++) {
        refused[i] = m_demand[i] * (1 - m_shares[i]);
    }
    return refused;
}

void RateLimiter::assumeDemand(const PriorityRates &demand)
{
    m_demand = demand;
    updateShares();
}

bool RateLimiter::refuses(std::uint8_t priority) const
{
    return share(priority) < 1;
}

bool RateLimiter::refusesAny() const
{
    for (std::size_t i = 0; i < PriorityCount; i++) {
        if (m_demand[i] > 0 && m_shares[i] < 1) {
            return true;
        }
    }
    return false;
}

std::uint32_t RateLimiter::arrived() const
{
    return std::accumulate(m_arrived.begin(), m_arrived.end(), 0U);
}

std::uint32_t RateLimiter::admitted() const
{
    return std::accumulate(m_admitted.begin(), m_admitted.end(), 0U);
}

double RateLimiter::share(std::uint8_t priority) const
{
    return m_shares[level(priority)];
}

void RateLimiter::updateShares()
{
    double left = m_limit.value_or(std::numeric_limits<double>::infinity());
    for (std::size_t i = 0; i < PriorityCount; i++) {
        m_shares[i] = left <= 0 ? 0 : std::min(left / std::max(m_demand[i], MinAdmittedRate / 2), 1.0);
        left = std::max(left - m_demand[i], 0.0);
    }
}

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
    m_used = m_rejectedShare + (times.max > Duration{} ? seconds(m_meanAnswerTime) / seconds(times.max) : 0);
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

const RateLimiter &PoolAdmission::limiter() const
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
                m_limiter.setLimit(answers / seconds(length));
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
    m_used = static_cast<double>(std::max(m_received, m_sent)) / (m_capacity * seconds(length));
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

const RateLimiter &LinkLoad::limiter() const
{
    return m_limiter;
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
    m_lowest = smallestKnown(m_lowest, mean(m_sum, m_answers));
    m_answers = 0;
    m_sum = {};
}

Duration UsualAnswerTime::get() const
{
    return smallestKnown(m_lowest, m_previous);
}

AdmissionControl::AdmissionControl(DataCentreId own, double linkBytesPerSecond)
    : m_own(own)
    , m_link(linkBytesPerSecond)
{
}

void AdmissionControl::reset()
{
    m_pools.clear();
    m_services.clear();
}

AdmissionDecision AdmissionControl::decide(
    TimePoint now, std::uint16_t service, const RequestObjective &objective, std::uint64_t callerHash, std::span<const DataCentreId> usable)
{
    if (objective.latency <= Duration{} || usable.empty()) {
        return {};
    }
    noteLatency(now, service, objective.latency);
    const AdmissionRequest request{objective.priority, callerHash};
    if (!m_link.allows(now, request)) {
        m_link.record(request, false);
        return {AdmissionVerdict::RefusedByLink, {}};
    }
    const AdmissionDecision decision = chooseAmong(now, service, request, usable);
    m_link.record(request, decision.verdict != AdmissionVerdict::RefusedByPools);
    return decision;
}

void AdmissionControl::recordAnswer(TimePoint now, PoolKey key, Duration answerTime)
{
    pool(key).recordAnswer(now, answerTime, answerTimes(key));
}

void AdmissionControl::recordBytes(std::size_t received, std::size_t sent)
{
    m_link.recordBytes(received, sent);
}

void AdmissionControl::tick(TimePoint now)
{
    m_link.tick(now);
    for (auto &[key, pool] : m_pools) {
        if (const auto window = pool.tick(now, answerTimes(key))) {
            m_services[key.service].usual.record(now, *window);
        }
    }
    std::erase_if(m_pools, [now](const auto &each) {
        return now - each.second.lastUse() >= PoolRetention;
    });
}

Duration AdmissionControl::usualAnswerTime(std::uint16_t service) const
{
    const auto at = m_services.find(service);
    return at != m_services.end() ? at->second.usual.get() : Duration{};
}

const std::map<PoolKey, PoolAdmission> &AdmissionControl::pools() const
{
    return m_pools;
}

const LinkLoad &AdmissionControl::link() const
{
    return m_link;
}

PoolAdmission &AdmissionControl::pool(PoolKey key)
{
    return m_pools.try_emplace(key, std::uint64_t{value(key.dataCentre)} + 1).first->second;
}

AnswerTimes AdmissionControl::answerTimes(PoolKey key) const
{
    AnswerTimes times;
    const auto at = m_services.find(key.service);
    if (at == m_services.end()) {
        return times;
    }
    const ServiceState &state = at->second;
    const Duration latency = smallestKnown(state.smallestLatency, state.previousLatency);
    times.usual = state.usual.get();
    const double factor = key.dataCentre == m_own ? OverloadedAnswerFactor : RemoteOverloadedAnswerFactor;
    const Duration bound = smallestKnown(scaled(times.usual, factor), scaled(latency, MaxObjectiveShare));
    times.max = times.usual > Duration{} ? std::max(bound, scaled(times.usual, RemoteOverloadedAnswerFactor)) : scaled(latency, UnknownObjectiveShare);
    times.silence = std::max(MaxAdmissionWindow, times.usual > Duration{} ? 2 * times.usual : latency);
    return times;
}

void AdmissionControl::noteLatency(TimePoint now, std::uint16_t service, Duration latency)
{
    ServiceState &state = m_services[service];
    if (now - state.periodStart >= AdmissionRotation) {
        state.previousLatency = state.smallestLatency;
        state.smallestLatency = {};
        state.periodStart = now;
    }
    state.smallestLatency = smallestKnown(state.smallestLatency, latency);
}

void AdmissionControl::orderOthers(std::uint64_t callerHash, std::span<const DataCentreId> usable)
{
    m_order.clear();
    for (const DataCentreId dataCentre : usable) {
        if (dataCentre != m_own) {
            m_order.emplace_back(hashPair(callerHash, value(dataCentre)), dataCentre);
        }
    }
    std::ranges::sort(m_order);
}

AdmissionDecision AdmissionControl::chooseAmong(TimePoint now, std::uint16_t service, const AdmissionRequest &request, std::span<const DataCentreId> usable)
{
    if (std::ranges::find(usable, m_own) != usable.end()) {
        PoolAdmission &home = pool({service, m_own});
        const bool admitted = home.allows(now, request);
        home.record(now, request, admitted);
        if (admitted) {
            return home.limiter().limit() ? AdmissionDecision{AdmissionVerdict::DataCentre, m_own} : AdmissionDecision{};
        }
        orderOthers(request.callerHash, usable);
        return chooseOverflow(now, service, request, home);
    }
    const bool limited = std::ranges::any_of(usable, [&](DataCentreId dataCentre) {
        return pool({service, dataCentre}).limiter().limit().has_value();
    });
    if (!limited) {
        return {};
    }
    orderOthers(request.callerHash, usable);
    return chooseElsewhere(now, service, request);
}

AdmissionDecision AdmissionControl::chooseOverflow(TimePoint now, std::uint16_t service, const AdmissionRequest &request, const PoolAdmission &home)
{
    PriorityRates expected = home.limiter().refusedDemand();
    for (double &rate : expected) {
        rate /= static_cast<double>(std::max<std::size_t>(m_order.size(), 1));
    }
    for (const auto &each : m_order) {
        pool({service, each.second}).startOverflow(OverflowStartShare * home.limiter().admittedRate(), expected);
    }
    return chooseElsewhere(now, service, request);
}

AdmissionDecision AdmissionControl::chooseElsewhere(TimePoint now, std::uint16_t service, const AdmissionRequest &request)
{
    for (const auto &each : m_order) {
        PoolAdmission &candidate = pool({service, each.second});
        const bool admitted = candidate.allows(now, request);
        candidate.record(now, request, admitted);
        if (admitted) {
            return {AdmissionVerdict::DataCentre, each.second};
        }
    }
    return {AdmissionVerdict::RefusedByPools, {}};
}

} // namespace Robinrail

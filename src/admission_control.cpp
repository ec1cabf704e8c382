// SPDX-License-Identifier: MIT
// Admission control: implementation.
#include "admission_control.h"

#include "duration_math.h"
#include "hash.h"

#include <algorithm>

namespace Robinrail {

using detail::scaled;
using detail::smallestKnown;

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

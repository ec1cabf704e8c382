// SPDX-License-Identifier: MIT
// Steering targets: implementation.
#include "steering_targets.h"

#include "hash.h"
#include "target_directory.h"
#include "target_probe.h"

#include <algorithm>
#include <utility>

namespace Robinrail {

FlowToken SteeringTargets::tokenOf(TargetKey key)
{
    const auto hash = static_cast<std::uint32_t>(hashPair(value(key), 0));
    return FlowToken{hash != 0 ? hash : 1};
}

void SteeringTargets::take(TimePoint now, ReplicaId replica, const TargetStatus &status)
{
    const auto [at, added] = m_targets.try_emplace(status.record.key);
    SteeredTarget &target = at->second;
    const bool wasAlive = reportedAlive(target);
    const bool wasGone = target.goneUntil != TimePoint{};
    if (status.silent) {
        target.reportedAliveBy.erase(replica);
    } else {
        target.reportedAliveBy.insert(replica);
        target.goneUntil = {};
    }
    if (reportedAlive(target) != wasAlive || (wasGone && !status.silent)) {
        noteChange(target);
    }
    if (!added && !status.record.supersedes(target.record)) {
        return;
    }
    if (!added) {
        remove(target);
    }
    if (status.record.phase == TargetPhase::Left && (added || target.record.phase != TargetPhase::Left)) {
        target.leftAt = now;
    }
    if (added || status.record.born != target.record.born) {
        // Flows of the former lifetime are reset by the target itself, as it does not know them.
        markAlive(now, target);
    }
    target.record = status.record;
    target.token = tokenOf(status.record.key);
    target.warmupEnd = std::max(target.warmupEnd, now + status.record.warmupLeft);
    add(target);
}

void SteeringTargets::add(SteeredTarget &target)
{
    // Two lifetimes may have the same token: with a probability of about 3e-6 among 150 targets, and about one pair among
    // 89,000. The one known first keeps it; the other gets no flows, so that no packet is misrouted.
    const auto [at, added] = m_tokens.try_emplace(value(target.token), &target);
    target.tokenCollision = !added && at->second != &target;
    if (target.record.phase != TargetPhase::Left) {
        ServiceTargets &service = m_services[target.record.service];
        const auto position = std::ranges::lower_bound(service.targets, std::pair(target.token, target.record.key), {}, [](const SteeredTarget *each) {
            return std::pair(each->token, each->record.key);
        });
        service.targets.insert(position, &target);
        ++service.revision;
    }
}

void SteeringTargets::remove(SteeredTarget &target)
{
    const auto service = m_services.find(target.record.service);
    if (service != m_services.end()) {
        std::erase(service->second.targets, &target);
        ++service->second.revision;
    }
    const auto token = m_tokens.find(value(target.token));
    if (token != m_tokens.end() && token->second == &target) {
        m_tokens.erase(token);
    }
}

void SteeringTargets::noteChange(const SteeredTarget &target)
{
    const auto service = m_services.find(target.record.service);
    if (service != m_services.end()) {
        ++service->second.revision;
    }
}

void SteeringTargets::dropReplicaReports(ReplicaId replica, bool othersLeft)
{
    if (!othersLeft) {
        return;
    }
    for (auto &[key, target] : m_targets) {
        withdrawReport(replica, target);
    }
}

void SteeringTargets::withdrawReportsExcept(ReplicaId replica, const std::set<TargetKey> &listed)
{
    for (auto &[key, target] : m_targets) {
        if (!listed.contains(key)) {
            withdrawReport(replica, target);
        }
    }
}

void SteeringTargets::withdrawReport(ReplicaId replica, SteeredTarget &target)
{
    if (target.reportedAliveBy.erase(replica) > 0) {
        noteChange(target);
    }
}

void SteeringTargets::setSource(ReplicaId replica)
{
    m_source = replica;
    for (auto &[name, service] : m_services) {
        ++service.revision;
    }
}

bool SteeringTargets::reportedAlive(const SteeredTarget &target) const
{
    return m_source ? target.reportedAliveBy.contains(*m_source) : !target.reportedAliveBy.empty();
}

void SteeringTargets::startWarmup(DataCentreId dataCentre, TimePoint until)
{
    for (auto &[key, target] : m_targets) {
        if (target.record.dataCentre == dataCentre) {
            target.warmupEnd = std::max(target.warmupEnd, until);
            noteChange(target);
        }
    }
}

void SteeringTargets::tick(TimePoint now)
{
    for (auto at = m_targets.begin(); at != m_targets.end();) {
        SteeredTarget &target = at->second;
        const bool left = target.record.phase == TargetPhase::Left;
        const bool expired = left ? now - target.leftAt >= LeftTargetRetention : !reportedAlive(target) && now - target.lastAlive >= SilentTargetRetention;
        if (expired && target.flows == 0) {
            remove(target);
            at = m_targets.erase(at);
        } else {
            ++at;
        }
    }
}

void SteeringTargets::markSuspect(TimePoint now, SteeredTarget &target)
{
    if (target.isSuspect(now)) {
        return;
    }
    target.suspicion = target.suspicion == Duration{0} ? InitialSuspicion : std::min(target.suspicion * 2, MaxSuspicion);
    target.suspectUntil = now + target.suspicion;
    noteChange(target);
}

void SteeringTargets::markAlive(TimePoint now, SteeredTarget &target)
{
    if (target.goneUntil != TimePoint{} || target.suspectUntil != TimePoint{}) {
        noteChange(target);
    }
    target.lastAlive = now;
    target.resetPending = false;
    target.goneUntil = {};
    target.suspicion = {};
    target.suspectUntil = {};
}

bool SteeringTargets::declareGone(TimePoint now, const TargetLifetime &lifetime)
{
    const auto at = m_targets.find(lifetime.key);
    if (at == m_targets.end() || at->second.record.born != lifetime.born || now - at->second.lastAlive < RecentActivityWindow) {
        return false;
    }
    at->second.resetPending = true;
    at->second.goneUntil = now + GoneDuration;
    noteChange(at->second);
    m_resetPending.push_back(lifetime.key);
    markSuspect(now, at->second);
    return true;
}

bool SteeringTargets::anyResetPending() const
{
    return !m_resetPending.empty();
}

void SteeringTargets::clearResetPending()
{
    for (const TargetKey key : std::exchange(m_resetPending, {})) {
        if (const auto at = m_targets.find(key); at != m_targets.end()) {
            at->second.resetPending = false;
        }
    }
}

SteeredTarget *SteeringTargets::find(FlowToken token)
{
    const auto at = m_tokens.find(value(token));
    return at != m_tokens.end() ? at->second : nullptr;
}

std::span<SteeredTarget *const> SteeringTargets::ofService(const std::string &service) const
{
    const auto at = m_services.find(service);
    return at != m_services.end() ? std::span<SteeredTarget *const>(at->second.targets) : std::span<SteeredTarget *const>();
}

const ServiceTargets &SteeringTargets::service(const std::string &name)
{
    return m_services[name];
}

std::size_t SteeringTargets::size() const
{
    return m_targets.size();
}

} // namespace Robinrail

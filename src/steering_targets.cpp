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

void SteeringTargets::take(TimePoint now, ReplicaId replica, const TargetStatus &news)
{
    const auto [at, added] = m_targets.try_emplace(news.record.key);
    SteeredTarget &target = at->second;
    if (news.silent) {
        target.vouchers.erase(replica);
    } else {
        target.vouchers.insert(replica);
        target.goneUntil = {};
    }
    if (!added && !news.record.supersedes(target.record)) {
        return;
    }
    if (!added) {
        remove(target);
    }
    if (news.record.phase == TargetPhase::Left && (added || target.record.phase != TargetPhase::Left)) {
        target.leftAt = now;
    }
    if (added || news.record.born != target.record.born) {
        // Flows of a former lifetime are reset by the target itself, which does not know them.
        sawAlive(now, target);
    }
    target.record = news.record;
    target.token = tokenOf(news.record.key);
    target.warmAt = std::max(target.warmAt, now + news.record.warmupLeft);
    add(target);
}

void SteeringTargets::add(SteeredTarget &target)
{
    // Two lifetimes may share a token: about 3e-6 among 150 targets, about one pair among 89,000. The one
    // that was known first keeps it; the other gets no flows, so that no packet goes astray.
    const auto [at, added] = m_tokens.try_emplace(value(target.token), &target);
    target.ambiguous = !added && at->second != &target;
    if (target.record.phase != TargetPhase::Left) {
        m_services[target.record.service].push_back(&target);
    }
}

void SteeringTargets::remove(SteeredTarget &target)
{
    const auto service = m_services.find(target.record.service);
    if (service != m_services.end()) {
        std::erase(service->second, &target);
    }
    const auto token = m_tokens.find(value(target.token));
    if (token != m_tokens.end() && token->second == &target) {
        m_tokens.erase(token);
    }
}

void SteeringTargets::forgetReplica(ReplicaId replica, bool others)
{
    if (!others) {
        return;
    }
    for (auto &[key, target] : m_targets) {
        target.vouchers.erase(replica);
    }
}

void SteeringTargets::keepVouched(ReplicaId replica, const std::set<TargetKey> &told)
{
    for (auto &[key, target] : m_targets) {
        if (!told.contains(key)) {
            target.vouchers.erase(replica);
        }
    }
}

void SteeringTargets::setSource(ReplicaId replica)
{
    m_source = replica;
}

bool SteeringTargets::vouched(const SteeredTarget &target) const
{
    return m_source ? target.vouchers.contains(*m_source) : !target.vouchers.empty();
}

void SteeringTargets::warmUp(DataCentreId dataCentre, TimePoint until)
{
    for (auto &[key, target] : m_targets) {
        if (target.record.dataCentre == dataCentre) {
            target.warmAt = std::max(target.warmAt, until);
        }
    }
}

void SteeringTargets::tick(TimePoint now)
{
    for (auto at = m_targets.begin(); at != m_targets.end();) {
        SteeredTarget &target = at->second;
        const bool left = target.record.phase == TargetPhase::Left;
        const bool over = left ? now - target.leftAt >= LeftTargetRetention : !vouched(target) && now - target.alive >= SilentTargetRetention;
        if (over && target.flows == 0) {
            remove(target);
            at = m_targets.erase(at);
        } else {
            ++at;
        }
    }
}

void SteeringTargets::suspect(TimePoint now, SteeredTarget &target)
{
    if (target.suspect(now)) {
        return;
    }
    target.suspicion = target.suspicion == Duration{0} ? FirstSuspicion : std::min(target.suspicion * 2, MaxSuspicion);
    target.suspectUntil = now + target.suspicion;
}

void SteeringTargets::sawAlive(TimePoint now, SteeredTarget &target)
{
    target.alive = now;
    target.flowsOver = false;
    target.goneUntil = {};
    target.suspicion = {};
    target.suspectUntil = {};
}

bool SteeringTargets::takeForGone(TimePoint now, TargetKey key)
{
    const auto at = m_targets.find(key);
    if (at == m_targets.end() || now - at->second.alive < RecentActivityWindow) {
        return false;
    }
    at->second.flowsOver = true;
    at->second.goneUntil = now + GoneMemory;
    m_flowsOver.push_back(key);
    suspect(now, at->second);
    return true;
}

bool SteeringTargets::anyFlowsOver() const
{
    return !m_flowsOver.empty();
}

void SteeringTargets::clearFlowsOver()
{
    for (const TargetKey key : std::exchange(m_flowsOver, {})) {
        if (const auto at = m_targets.find(key); at != m_targets.end()) {
            at->second.flowsOver = false;
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
    return at != m_services.end() ? std::span<SteeredTarget *const>(at->second) : std::span<SteeredTarget *const>();
}

std::size_t SteeringTargets::size() const
{
    return m_targets.size();
}

} // namespace Robinrail

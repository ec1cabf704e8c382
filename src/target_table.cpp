// SPDX-License-Identifier: MIT
// Target table: leases, incarnations, drain and slow start.
#include "target_table.h"

#include <algorithm>
#include <cassert>

namespace Robinrail {

namespace {

auto versionOf(const Announcement &announcement)
{
    return std::pair(announcement.incarnation, announcement.sequence);
}

auto sortKeyOf(const Announcement &announcement)
{
    return std::pair(announcement.service, announcement.target);
}

auto lowerBound(auto &targets, ServiceId service, TargetId id)
{
    return std::lower_bound(targets.begin(), targets.end(), std::pair(service, id), [](const Target &target, const auto &wanted) {
        return sortKeyOf(target.announcement) < wanted;
    });
}

auto rangeOf(auto &targets, ServiceId service)
{
    const auto first = lowerBound(targets, service, TargetId{0});
    const auto last = std::find_if(first, targets.end(), [service](const Target &target) {
        return target.announcement.service != service;
    });
    return std::span(first, last);
}

} // namespace

AnnouncementEffect TargetTable::announce(TimePoint now, const Announcement &announcement, Duration age, Duration knownFor)
{
    if (age >= TargetLease || age < Duration::zero() || knownFor < Duration::zero()) {
        return AnnouncementEffect::Stale;
    }
    Target *known = find(announcement.target);
    if (known != nullptr && known->announcement.service != announcement.service) {
        return AnnouncementEffect::Stale;
    }
    if (known != nullptr && known->announcement.incarnation == announcement.incarnation) {
        // A balancer that joined later learns that the target has already finished its slow start.
        known->firstHeard = std::min(known->firstHeard, now - knownFor);
    }
    if (known != nullptr && versionOf(announcement) <= versionOf(known->announcement)) {
        // Draining is accepted at any sequence of the incarnation: an operator may have requested it at a peer.
        const bool drains = announcement.draining && !known->announcement.draining && known->state == TargetState::Serving;
        if (!drains || announcement.incarnation != known->announcement.incarnation) {
            return AnnouncementEffect::Stale;
        }
        known->announcement.draining = true;
        known->state = TargetState::Draining;
        ++m_version;
        return AnnouncementEffect::Drained;
    }
    const bool sameIncarnation = known != nullptr && known->announcement.incarnation == announcement.incarnation;
    Target &target = known != nullptr ? *known : insert(announcement);
    const bool wasDraining = sameIncarnation && target.announcement.draining;
    const TargetState before = target.state;
    if (!sameIncarnation) {
        target.firstHeard = now - knownFor;
        target.backoffUntil = now;
        target.refusalBackoff = RefusalBackoff;
        target.unansweredAttempts = 0;
    }
    target.announcement = announcement;
    target.announcement.draining = announcement.draining || wasDraining;
    target.lastHeard = std::max(target.lastHeard, now - age);
    target.state = target.announcement.draining ? TargetState::Draining : TargetState::Serving;
    if (target.state == TargetState::Draining) {
        const bool news = !wasDraining || before == TargetState::Lost;
        m_version += news ? 1 : 0;
        return news ? AnnouncementEffect::Drained : AnnouncementEffect::Renewed;
    }
    const bool joined = !sameIncarnation || before != TargetState::Serving;
    m_version += joined ? 1 : 0;
    return joined ? AnnouncementEffect::Joined : AnnouncementEffect::Renewed;
}

bool TargetTable::renew(TimePoint now, const TargetRenewal &renewal)
{
    Target *target = find(renewal.target);
    if (target == nullptr || incarnationBits(target->announcement.incarnation) != renewal.incarnationBits) {
        return false;
    }
    const Duration age = std::chrono::milliseconds(renewal.ageMilliseconds);
    if (renewal.sequence <= target->announcement.sequence || age >= TargetLease) {
        return true;
    }
    if (target->state == TargetState::Lost) {
        return false;
    }
    target->announcement.sequence = renewal.sequence;
    target->lastHeard = std::max(target->lastHeard, now - age);
    return true;
}

bool TargetTable::expire(TimePoint now)
{
    bool changed = false;
    for (Target &target : m_targets) {
        if (target.state != TargetState::Lost && now - target.lastHeard >= TargetLease) {
            target.state = TargetState::Lost;
            changed = true;
        }
    }
    std::erase_if(m_targets, [this, now](const Target &target) {
        const bool unused = target.running == 0 && target.feeds == 0;
        const bool forgotten = target.state == TargetState::Lost && unused && now - target.lastHeard >= TombstoneTime;
        if (forgotten) {
            m_services.erase(target.id());
        }
        return forgotten;
    });
    m_version += changed ? 1 : 0;
    return changed;
}

Target *TargetTable::find(TargetId id)
{
    const auto service = m_services.find(id);
    return service != m_services.end() ? &*lowerBound(m_targets, service->second, id) : nullptr;
}

const Target *TargetTable::find(TargetId id) const
{
    const auto service = m_services.find(id);
    return service != m_services.end() ? &*lowerBound(m_targets, service->second, id) : nullptr;
}

std::span<Target> TargetTable::targetsOf(ServiceId service)
{
    return rangeOf(m_targets, service);
}

std::span<const Target> TargetTable::targetsOf(ServiceId service) const
{
    return rangeOf(m_targets, service);
}

std::span<Target> TargetTable::targets()
{
    return m_targets;
}

std::span<const Target> TargetTable::targets() const
{
    return m_targets;
}

std::uint64_t TargetTable::version() const
{
    return m_version;
}

Target &TargetTable::insert(const Announcement &announcement)
{
    Target target;
    target.announcement = announcement;
    m_services[announcement.target] = announcement.service;
    return *m_targets.insert(lowerBound(m_targets, announcement.service, announcement.target), target);
}

std::uint16_t incarnationBits(Incarnation incarnation)
{
    return static_cast<std::uint16_t>(value(incarnation));
}

std::uint16_t usableSlots(const Target &target, TimePoint now)
{
    if (target.state != TargetState::Serving || target.announcement.slots == 0) {
        return 0;
    }
    const Duration age = now - target.firstHeard;
    if (age >= SlowStartTime) {
        return target.announcement.slots;
    }
    const auto grown = static_cast<std::uint16_t>(target.announcement.slots * age / SlowStartTime);
    return std::max<std::uint16_t>(1, grown);
}

bool acceptsAttempt(const Target &target, TimePoint now)
{
    const bool probing = target.unansweredAttempts >= UnansweredAttemptLimit && target.running > 0;
    return target.state == TargetState::Serving && now >= target.backoffUntil && !probing;
}

void recordRefusal(Target &target, TimePoint now)
{
    target.backoffUntil = now + target.refusalBackoff;
    target.refusalBackoff = std::min(target.refusalBackoff * 2, MaxRefusalBackoff);
}

void recordAnswer(Target &target)
{
    target.unansweredAttempts = 0;
    target.refusalBackoff = RefusalBackoff;
}

void recordNoAnswer(Target &target)
{
    ++target.unansweredAttempts;
}

} // namespace Robinrail

// SPDX-License-Identifier: MIT
// Target table: the known targets, learned only from their announcements.
#pragma once

#include "message.h"

#include <boost/unordered/unordered_flat_map.hpp>
#include <span>

namespace Robinrail {

// A target without an announcement or renewal for this long is considered lost.
inline constexpr Duration TargetLease = std::chrono::seconds(12);

// A lost or drained target is kept as a tombstone for this long, so that delayed gossip cannot revive it.
inline constexpr Duration TombstoneTime = std::chrono::seconds(60);

// Slow start: the usable slots of a target grow from one to all over this time after its first announcement.
inline constexpr Duration SlowStartTime = std::chrono::seconds(4);

// After a refusal the target gets no attempt for this long, doubled with each consecutive refusal up to the
// maximum. Refusals take precedence over the target's reports of free slots.
inline constexpr Duration RefusalBackoff = std::chrono::milliseconds(20);
inline constexpr Duration MaxRefusalBackoff = std::chrono::milliseconds(640);

// After this many consecutive attempts without an answer a target is unresponsive: it gets one attempt at a time.
inline constexpr int UnansweredAttemptLimit = 3;

enum class TargetState : std::uint8_t {
    Serving,
    Draining,
    Lost,
};

// State of one target, and of the work of this balancer on it.
struct Target {
    Announcement announcement;
    TargetState state = TargetState::Serving;
    TimePoint firstHeard;
    TimePoint lastHeard;
    TimePoint backoffUntil;
    Duration refusalBackoff = RefusalBackoff;
    int unansweredAttempts = 0;
    std::uint64_t lastAttempt = 0; // Serial of the newest attempt; the least recently used target is preferred.
    std::uint16_t assignedSlots = 0; // To this balancer, by the slot policy.
    std::uint16_t running = 0; // Running attempts of this balancer.
    std::uint32_t feeds = 0; // Feeds attached by this balancer.

    TargetId id() const
    {
        return announcement.target;
    }
};

// Effect of an announcement.
enum class AnnouncementEffect : std::uint8_t {
    Stale,
    Renewed,
    Joined,
    Drained,
};

// Keeps targets by lease. The highest (incarnation, sequence) of a target wins. Draining is final within an incarnation,
// because a target that is leaving must not get new work due to a delayed announcement. A known target keeps its service;
// an announcement for another service is stale until the target's tombstone is dropped.
class TargetTable
{
public:
    // Processes an announcement that is `age` old; its sender has known the target for `knownFor`.
    AnnouncementEffect announce(TimePoint now, const Announcement &announcement, Duration age = {}, Duration knownFor = {});

    // Renews the lease of a known target; false if that incarnation of it is unknown or lost.
    bool renew(TimePoint now, const TargetRenewal &renewal);

    // Marks targets whose lease expired as lost, and drops old tombstones. Returns whether any target was lost.
    bool expire(TimePoint now);

    Target *find(TargetId id);
    const Target *find(TargetId id) const;

    // All known targets, tombstones included, in order of service and id.
    std::span<Target> targets();
    std::span<const Target> targets() const;

    // Targets of one service, found without a scan of the others: the cost of a request must not grow with other services.
    std::span<Target> targetsOf(ServiceId service);
    std::span<const Target> targetsOf(ServiceId service) const;

    // Incremented whenever a target joins, drains, is lost or recovers.
    std::uint64_t version() const;

private:
    Target &insert(const Announcement &announcement);

    std::vector<Target> m_targets;
    boost::unordered_flat_map<TargetId, ServiceId> m_services; // Service of each target, to find its position in m_targets.
    std::uint64_t m_version = 0;
};

// The low 16 bits of an incarnation, which a renewal carries.
std::uint16_t incarnationBits(Incarnation incarnation);

// Usable slots of a target at `now`: reduced during slow start, 0 unless it is serving.
std::uint16_t usableSlots(const Target &target, TimePoint now);

// Whether the target may get a new attempt at `now`, slot counts aside.
bool acceptsAttempt(const Target &target, TimePoint now);

// Record that the target refused an attempt, answered one, or left one without an answer.
void recordRefusal(Target &target, TimePoint now);
void recordAnswer(Target &target);
void recordNoAnswer(Target &target);

} // namespace Robinrail

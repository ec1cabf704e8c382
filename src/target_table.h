// SPDX-License-Identifier: MIT
// Target table: which targets exist, learned from their announcements alone.
#pragma once

#include "message.h"

#include <boost/unordered/unordered_flat_map.hpp>
#include <span>

namespace Robinrail {

// A target that has not been heard of for this long is taken for lost.
inline constexpr Duration TargetLease = std::chrono::seconds(12);

// A lost or drained target is remembered for this long, so that late gossip cannot revive it.
inline constexpr Duration TombstoneTime = std::chrono::seconds(60);

// A target grows from one slot to all of them over this time after its first announcement.
inline constexpr Duration SlowStartTime = std::chrono::seconds(4);

// After a refusal the target gets nothing for this long, doubled with each refusal in a row up to the
// maximum; a report of free slots is not believed against refusals that were seen.
inline constexpr Duration RefusalBackoff = std::chrono::milliseconds(20);
inline constexpr Duration MaxRefusalBackoff = std::chrono::milliseconds(640);

// This many attempts without any answer in a row mark a target as silent: it then gets one attempt at a time.
inline constexpr int UnansweredAttemptLimit = 3;

enum class TargetState : std::uint8_t {
    Serving,
    Draining,
    Lost,
};

// What is known of one target, and what this balancer has running there.
struct Target {
    Announcement announcement;
    TargetState state = TargetState::Serving;
    TimePoint firstHeard;
    TimePoint lastHeard;
    TimePoint backoffUntil;
    Duration refusalBackoff = RefusalBackoff;
    int unansweredAttempts = 0;
    std::uint64_t lastAttempt = 0; // Serial of the newest attempt; the least recently used target goes first.
    std::uint16_t assignedSlots = 0; // Slots dealt to this balancer.
    std::uint16_t running = 0; // Attempts of this balancer.
    std::uint32_t feeds = 0; // Feeds attached by this balancer.

    TargetId id() const
    {
        return announcement.target;
    }
};

// Result of taking one announcement in.
enum class AnnouncementEffect : std::uint8_t {
    Stale,
    Renewed,
    Joined,
    Drained,
};

// Keeps targets by lease. Per target the highest (incarnation, sequence) wins; draining is final
// within an incarnation, because a target that said it leaves must not get new work from late news. A
// known target keeps its service; an announcement for another one is stale until the target is forgotten.
class TargetTable
{
public:
    // Takes an announcement that is `age` old, of a target that its teller has known for `knownFor`.
    AnnouncementEffect announce(TimePoint now, const Announcement &announcement, Duration age = {}, Duration knownFor = {});

    // Prolongs the lease of a known target; false if it is unknown in that incarnation.
    bool renew(TimePoint now, const TargetRenewal &renewal);

    // Marks targets whose lease ran out as lost and drops old tombstones. Answers whether any changed.
    bool expire(TimePoint now);

    Target *find(TargetId id);
    const Target *find(TargetId id) const;

    // All known targets, tombstones included, in order of service and id.
    std::span<Target> targets();
    std::span<const Target> targets() const;

    // Those of one service; what a request costs must not grow with the other services.
    std::span<Target> targetsOf(ServiceId service);
    std::span<const Target> targetsOf(ServiceId service) const;

    // Changes whenever a target joins, drains, is lost or comes back.
    std::uint64_t version() const;

private:
    Target &insert(const Announcement &announcement);

    std::vector<Target> m_targets;
    boost::unordered_flat_map<TargetId, ServiceId> m_services; // Where each target stands in the order.
    std::uint64_t m_version = 0;
};

// What of an incarnation a renewal carries.
std::uint16_t incarnationBits(Incarnation incarnation);

// Slots that may be used of a target at `now`: fewer while it starts, none unless it is serving.
std::uint16_t usableSlots(const Target &target, TimePoint now);

// Whether a new attempt may go to the target now, leaving slot counts aside.
bool acceptsAttempt(const Target &target, TimePoint now);

// Notes that the target refused an attempt, or that it answered, or that an attempt ended in silence.
void recordRefusal(Target &target, TimePoint now);
void recordAnswer(Target &target);
void recordNoAnswer(Target &target);

} // namespace Robinrail

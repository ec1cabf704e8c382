// SPDX-License-Identifier: MIT
// Target directory: a replica's soft state about all targets. An announcement reaches one replica, which forwards changes to
// all other replicas and to the balancers that follow it. Changes are ordered by lifetime and sequence number, so that no
// replicated log is needed.
#pragma once

#include "directory_digest.h"
#include "target_leases.h"
#include "target_record.h"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace Robinrail {

// How long a target that left is kept, so that packets of its flows are still recognised and no delayed announcement
// revives it: the maximum lifetime of a flow, 60 s, plus a margin.
inline constexpr Duration LeftTargetRetention = std::chrono::seconds(75);

// A target that has not announced itself to any replica for this long is removed.
inline constexpr Duration SilentTargetRetention = std::chrono::seconds(120);

// Two warm-ups whose ends differ by less are the same one, announced with different delays. A quarter of the shortest
// warm-up of a target, 2 s.
inline constexpr Duration WarmupSlack = std::chrono::milliseconds(500);

// Announcements by which a superseded target refutes that it is gone. They must be in order and span the silence limit. More
// than the calls that are in progress when a target crashes, which a partition may deliver late.
inline constexpr int AnnouncementsToRefute = 4;

// Share of the running targets that must give their birth, and how many must at least, for one without a birth to be rejected
// as that of another system's writer.
inline constexpr double BirthShare = 0.75;
inline constexpr std::size_t MinTargetsWithBirth = 4;

// Maximum number of targets; announcements of further ones are rejected.
inline constexpr std::size_t MaxDirectoryTargets = 100'000;

class TargetDirectory
{
public:
    // Targets announce themselves once per `announceInterval` and count as silent after `silenceLimit` without an
    // announcement at any replica.
    TargetDirectory(Duration announceInterval, Duration silenceLimit);

    // The services that the routing document names; none before the first document. A target of any other service is kept, as
    // a document may still introduce its service, but it supersedes no other and occupies no address.
    void setServices(std::span<const std::string> services);
    bool isKnownService(const std::string &service) const;

    // Applies an announcement that was received here. Returns the changes to forward: older targets at its address that have been
    // silent for the silence limit and are now superseded, and then the target itself. A target that is new at an address is
    // not registered as long as a target of another service announces itself there.
    std::vector<TargetStatus> announce(TimePoint now, const TargetRecord &announced);

    // Whether an announcement gives no birth although almost all running targets did as of the last tick. A target that was registered
    // without one may go on.
    bool lacksBirth(const TargetRecord &announced) const;

    // Whether a lifetime is superseded and still has not announced itself to any replica for the silence limit.
    bool isSupersededAndSilent(TimePoint now, const TargetLifetime &lifetime) const;

    // This process did not run for `pause`: announcements of that time were missed here, so it does not count as silence.
    void discountPause(TimePoint now, Duration pause);

    // Applies a status received from another replica. Returns the change to forward to balancers, if any.
    std::optional<TargetStatus> apply(TimePoint now, const TargetStatus &status);

    // Ends a lifetime, or the current one if `born` is 0. Returns the change to forward; empty if the lifetime is unknown or
    // was replaced by a later one.
    std::optional<TargetStatus> leave(TimePoint now, TargetKey key, std::uint64_t born = 0);

    // Another replica holds leases on these targets now. Returns the targets that are no longer silent.
    std::vector<TargetStatus> renew(TimePoint now, std::span<const TargetKey> keys);

    // The lease on a target expired: its last announcement was earlier than assumed while the lease was held.
    void leaseExpired(TimePoint now, const ExpiredLease &lease);

    // Returns targets that have gone silent, and removes old ones.
    std::vector<TargetStatus> tick(TimePoint now);

    // Whether a known target has not announced itself anywhere for half of the silence limit. This is longer than the interval
    // between two announcements plus the delay with which another replica reports them.
    bool isOverdue(TimePoint now, TargetKey key) const;

    // The targets that announced themselves here since the last call.
    std::vector<TargetKey> takeAnnouncedHere();

    // The targets that were removed since the last call.
    std::vector<TargetKey> takeForgotten();

    // Hashes of all buckets of the directory, and the targets in the buckets that are queried.
    std::vector<std::uint32_t> digest(std::size_t buckets) const;
    std::vector<TargetKey> keysIn(const DirectoryQuery &query) const;

    std::vector<TargetStatus> all(TimePoint now) const;
    std::optional<TargetStatus> status(TimePoint now, TargetKey key) const;
    const TargetRecord *find(TargetKey key) const;
    std::size_t size() const;

private:
    struct Entry {
        TargetRecord record;
        TimePoint lastHeard;
        TimePoint firstHeard; // By any replica.
        bool silent = false;
    };
    // A target that is not registered because its address is occupied.
    struct WaitingTarget {
        std::uint64_t born = 0;
        TimePoint firstHeard;
        TimePoint lastHeard;
    };
    // How an announcement relates to what is known of its target.
    enum class Relation : std::uint8_t {
        Current, // Of a new target, of the known lifetime or of a later one.
        Delayed, // Of a lifetime that a later one has replaced.
        Unconfirmed, // Of a superseded lifetime that has not announced itself often enough.
        Refuting, // Of a superseded lifetime that is thereby known to run.
    };
    // A superseded target that announces itself again.
    struct ReturningTarget {
        std::uint64_t sequence = 0;
        int announcements = 0;
        TimePoint firstHeard;
        TimePoint lastHeard;
    };
    bool isSilent(TimePoint now, const Entry &entry) const;
    bool isAddressOccupied(TimePoint now, const TargetRecord &record) const;
    std::vector<TargetStatus> supersedeOlder(TimePoint now, const TargetRecord &record);
    Relation relate(TimePoint now, const TargetRecord &announced);
    bool refutes(TimePoint now, const TargetRecord &announced);
    void countBirths(TimePoint now);
    TimePoint firstHeard(TimePoint now, const TargetRecord &record) const;
    TargetStatus beginLifetime(TimePoint now, Entry &entry, const TargetStatus &status);
    static bool restartsWarmup(const TargetStatus &status, const Entry &entry, TimePoint now);
    void setRecord(Entry &entry, const TargetRecord &record);
    void unindex(const TargetRecord &record);
    TargetStatus statusOf(const Entry &entry, TimePoint now) const;

    Duration m_announceInterval;
    Duration m_silenceLimit;
    std::set<std::string> m_services; // That the routing document names.
    std::map<TargetKey, Entry> m_entries;
    std::map<TargetKey, WaitingTarget> m_waiting;
    std::map<TargetKey, ReturningTarget> m_returning;
    bool m_birthRequired = false;
    std::multimap<Endpoint, TargetKey> m_addresses; // Of all entries.
    std::vector<TargetKey> m_announcedHere;
    std::vector<TargetKey> m_forgotten;
};

} // namespace Robinrail

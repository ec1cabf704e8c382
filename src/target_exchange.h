// SPDX-License-Identifier: MIT
// Target exchange: the replica's side of the target directory: receives announcements, replicates changes to the other
// replicas, publishes them to the balancers, and confirms drains once enough replicas know of them.
#pragma once

#include "change_batch.h"
#include "directory_publisher.h"
#include "directory_reconciler.h"
#include "directory_responder.h"
#include "drain_confirmations.h"
#include "log_rate_limiter.h"
#include "metrics.h"
#include "target_probe.h"

namespace Robinrail {

// A replica's lease on a target, in announce intervals after its last announcement: the next one may be half an interval
// late.
inline constexpr double LeaseInAnnounceIntervals = 1.5;

// Announcements that a target may miss before it counts as silent, and additional time for one that is sent again to
// another replica after a second without an answer.
inline constexpr int MaxMissedAnnouncements = 2;
inline constexpr Duration AnnouncementSlack = std::chrono::milliseconds(1200);

// A pause of this process from which on it does not count as silence of the targets: half of the time after which the links to it
// are closed. A shorter one delays an announcement by less than AnnouncementSlack.
inline constexpr Duration MinDiscountedPause = std::chrono::milliseconds(1000);

// Interval at which changes are published to followers. The delay costs callers little: 200 ms at a target that has gone
// silent, and nothing at one that drains, which serves for seconds more. At 150 changes per second, batches replace about
// seven messages by one.
inline constexpr Duration PublishInterval = std::chrono::milliseconds(50);

// Links to other replicas and to following balancers; NodeLinks in production. Link identifiers are never reused.
template<typename L>
concept ExchangeLinks = PageLinks<L> && requires(L &links, ReplicaLinkId link, std::span<const ReplicaLinkId> several, const NodeMessage &message)
{
    links.send(link, message);
    links.sendAll(several, message);
    {
        links.isDialled(link)
        } -> std::same_as<bool>;
    {
        links.dialled()
        } -> std::same_as<std::vector<ReplicaLinkId>>;
};

template<ExchangeLinks Links>
class BasicTargetExchange
{
public:
    // Whether a call was accepted: the target is known and, if it drains or has left, no tolerated loss can undo that.
    using Respond = std::function<void(bool accepted)>;

    // The exchange of the replica `self`. Targets announce themselves once per `announceInterval`.
    BasicTargetExchange(Links &links, TimePoint now, const ReplicaLocation &self, Duration announceInterval, const LossTolerance &tolerance);

    // The services that the routing document names; see TargetDirectory.
    void setServices(std::span<const std::string> services);

    // Calls from targets. An announcement of a service that the document does not name is accepted even if it is not registered:
    // nothing depends on it, and its sender would only repeat it sooner.
    void announce(TimePoint now, const TargetRecord &record, Respond respond);
    void leave(TimePoint now, TargetKey key, std::uint64_t born, Respond respond);

    // Whether an announcement is to be rejected as it gives no birth; see TargetDirectory.
    bool lacksBirth(const TargetRecord &announced) const;

    // A balancer reports targets that do not answer. Calls `probe` for each that is known, has not left and may be gone: a target
    // that drains may accept no connections, but announces itself as long as it lives.
    template<typename Probe>
    void onUnanswered(TimePoint now, const TargetsUnanswered &list, Probe probe)
    {
        discountPause(now);
        for (const TargetKey key : list.keys) {
            const TargetRecord *record = m_directory.find(key);
            const bool overdue = m_directory.isOverdue(now, key);
            if (record != nullptr && record->phase != TargetPhase::Left && (overdue || !isDraining(key))) {
                probe(ReportedTarget{key, record->born, record->address, overdue, record->phase == TargetPhase::Superseded});
            }
        }
    }

    bool isDraining(TargetKey key) const;

    // Whether a lifetime is superseded and still silent; see TargetDirectory.
    bool isSupersededAndSilent(TimePoint now, const TargetLifetime &lifetime) const;

    // A balancer subscribes to this replica's directory; its link was lost.
    void follow(TimePoint now, ReplicaLinkId link, const FollowDirectory &request);
    void unfollow(ReplicaLinkId link);

    // Sends pending changes to other replicas and followers when they are due. Call at each tick.
    void publish(TimePoint now);

    // Messages from other replicas.
    void onTargetStatuses(TimePoint now, ReplicaLinkId link, const TargetStatusList &list);
    void onLeaseUpdate(TimePoint now, ReplicaLinkId link, const TargetLeaseUpdate &update);
    void onReceipts(TimePoint now, const ReplicaLocation &from, const TargetReceipts &list);
    void onCompare(TimePoint now, ReplicaLinkId link, const DirectoryCompare &compare);
    void onDigest(TimePoint now, ReplicaLinkId link, const DirectoryDigest &digest);
    void onQuery(TimePoint now, ReplicaLinkId link, const DirectoryQuery &query);
    void onAnswered(ReplicaLinkId link, const DirectoryQueryDone &answer);

    // A link to another replica was lost.
    void closed(ReplicaLinkId link);

    // Restores the targets that were known before a restart, as if they had announced themselves now.
    void restore(TimePoint now, std::span<const TargetStatus> targets);

    // A link to another replica was established: schedules a comparison with its directory.
    void linked(ReplicaId peer, ReplicaLinkId link);

    // Sends and answers queries about differing parts of the directories. Call at each tick.
    void reconcile(TimePoint now);

    // Fails drains whose confirmation timed out. Call at each tick.
    void expireDrains(TimePoint now);

    // Sends lease changes to the other replicas, detects silent targets and removes old ones. Call periodically.
    void sendHeartbeat(TimePoint now);

    // All targets; whether any of them changed since the last call.
    std::vector<TargetStatus> all(TimePoint now) const;
    bool takeChanged();

    std::size_t size() const;
    std::size_t followers() const;
    std::uint64_t announcements() const;
    std::uint64_t drainsUnanswered() const;

    // Time from the request for a drain or departure to its confirmation.
    const LatencyHistogram &drainTimes() const;

private:
    void discountPause(TimePoint now);
    void propagate(TimePoint now, const TargetStatus &status);
    void notifyReplicas(TimePoint now);
    void notifyFollowers(std::span<const TargetStatus> changed);
    void confirmDrain(TimePoint now, const TargetRecord &record, Respond respond);
    bool informed(TimePoint now) const;
    void logSilent(TimePoint now, const TargetStatus &status);
    void sendNextCompare(TimePoint now);
    void logMalformed(TimePoint now, std::string_view message);

    Links &m_links;
    Duration m_announceInterval;
    TargetDirectory m_directory;
    DirectoryPublisher m_publisher;
    TimePoint m_publishDue;
    ChangeBatch m_changeBatch; // For the other replicas.
    LocalTargetLeases m_localLeases;
    PeerTargetLeases m_peerLeases;
    DirectoryReconciler m_reconciler;
    DirectoryResponder m_responder;
    DrainConfirmations m_drains;
    TimePoint m_started;
    TimePoint m_lastRun; // Last time at which this process is known to have run.
    TimePoint m_receiptsAt; // Arrival time of the receipts that are being processed.
    bool m_restored = false; // Targets were restored from before a restart.
    bool m_changed = false;
    LogRateLimiter m_changeLog;
    LogRateLimiter m_silentLog;
    LogRateLimiter m_malformedLog;
    std::uint64_t m_announcements = 0;
    std::uint64_t m_drainsUnanswered = 0;
    LatencyHistogram m_drainTimes;
};

} // namespace Robinrail

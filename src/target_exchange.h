// SPDX-License-Identifier: MIT
// Target exchange: a replica's part in keeping the targets: takes their announcements, hands changes to the
// other replicas and to the balancers, and confirms drains once enough replicas know.
#pragma once

#include "directory_answers.h"
#include "directory_publisher.h"
#include "directory_reconciler.h"
#include "drain_confirmations.h"
#include "log_budget.h"
#include "metrics.h"
#include "news_batch.h"
#include "target_probe.h"

namespace Robinrail {

// A replica vouches for a target for this many intervals after it was heard: until the next announcement is half an
// interval late.
inline constexpr double HeardLease = 1.5;

// Announcements that a target may miss before it counts as silent, and some slack for one that is sent to
// another replica after a second without an answer.
inline constexpr int MissedAnnouncements = 2;
inline constexpr Duration AnnouncementSlack = std::chrono::milliseconds(1200);

// Followers are told of changes this often. Callers lose 200 ms at a target that has fallen silent and nothing at one that
// drains, which serves for seconds more; at 150 changes a second a batch saves six messages of seven.
inline constexpr Duration PublishInterval = std::chrono::milliseconds(50);

// Links between replicas, and to the balancers that follow; NodeLinks are the real ones. Handles are never reused.
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
    // Whether a call was taken: the target is known, and if it drains or left, no borne loss can undo that.
    using Respond = std::function<void(bool taken)>;

    // The exchange of the replica `self`. Targets announce themselves once in `announceInterval`.
    BasicTargetExchange(Links &links, TimePoint now, const ReplicaPlace &self, Duration announceInterval, const LossTolerance &borne);

    // Calls of the targets.
    void announce(TimePoint now, const TargetRecord &record, Respond respond);
    void leave(TimePoint now, TargetKey key, std::uint64_t born, Respond respond);

    // A balancer's targets that do not answer; each that may still be there is passed on.
    template<typename Probe>
    void onUnanswered(TimePoint now, const TargetsUnanswered &list, Probe probe) const
    {
        for (const TargetKey key : list.keys) {
            const TargetRecord *record = m_directory.find(key);
            if (record != nullptr && record->phase != TargetPhase::Left) {
                probe(ReportedTarget{key, record->address, m_directory.missedTurn(now, key)});
            }
        }
    }

    // A balancer follows this replica's directory; its link is gone.
    void follow(TimePoint now, ReplicaLinkId link, const FollowDirectory &request);
    void unfollow(ReplicaLinkId link);

    // Tells other replicas and followers what changed, if that is due. Call it at each tick.
    void publish(TimePoint now);

    // What another replica says over its link.
    void onNews(TimePoint now, ReplicaLinkId link, const TargetStatusList &list);
    void onHeard(TimePoint now, ReplicaLinkId link, const TargetsHeard &beat);
    void onReceipts(TimePoint now, const ReplicaPlace &from, const TargetReceipts &list);
    void onCompare(TimePoint now, ReplicaLinkId link, const DirectoryCompare &compare);
    void onDigest(TimePoint now, ReplicaLinkId link, const DirectoryDigest &digest);
    void onQuery(TimePoint now, ReplicaLinkId link, const DirectoryQuery &query);
    void onAnswered(ReplicaLinkId link, const DirectoryAnswered &answer);

    // A link to another replica is gone.
    void closed(ReplicaLinkId link);

    // Takes the targets that were known before a restart; they are heard as of now.
    void restore(TimePoint now, std::span<const TargetStatus> targets);

    // A link to another replica has come up: its directory is to be compared.
    void linked(ReplicaId peer, ReplicaLinkId link);

    // Asks and answers other replicas about parts that differ. Call it at each tick.
    void reconcile(TimePoint now);

    // Gives up on drains that waited too long. Call it at each tick.
    void expireDrains(TimePoint now);

    // Tells the others whom this replica heard, and finds who fell silent. Call it once in a while.
    void beat(TimePoint now);

    // All targets; whether anything changed since the last call.
    std::vector<TargetStatus> all(TimePoint now) const;
    bool takeChanged();

    std::size_t size() const;
    std::size_t followers() const;
    std::uint64_t announcements() const;
    std::uint64_t drainsUnanswered() const;

    // From a drain or an end to its confirmation.
    const LatencyHistogram &drainTimes() const;

private:
    void spread(TimePoint now, const TargetStatus &news);
    void tellReplicas(TimePoint now);
    void tellFollowers(std::span<const TargetStatus> changed);
    void confirm(TimePoint now, const TargetRecord &record, Respond respond);
    bool informed(TimePoint now) const;
    void logSilent(TimePoint now, const TargetStatus &news);
    void askNext(TimePoint now);
    void refuseMalformed(TimePoint now, std::string_view message);

    Links &m_links;
    Duration m_announceInterval;
    TargetDirectory m_directory;
    DirectoryPublisher m_publisher;
    TimePoint m_publishDue;
    NewsBatch m_news; // For the other replicas.
    HeardTargets m_heard;
    HeardElsewhere m_heardElsewhere;
    DirectoryReconciler m_reconciler;
    DirectoryAnswers m_answers;
    DrainConfirmations m_drains;
    TimePoint m_started;
    TimePoint m_receiptsAt; // When the receipts came that are being taken.
    bool m_restored = false; // Targets were known from before the restart.
    bool m_changed = false;
    LogRateLimiter m_newsLog;
    LogRateLimiter m_silentLog;
    LogRateLimiter m_malformedLog;
    std::uint64_t m_announcements = 0;
    std::uint64_t m_drainsUnanswered = 0;
    LatencyHistogram m_drainTimes;
};

} // namespace Robinrail

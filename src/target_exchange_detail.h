// SPDX-License-Identifier: MIT
// Target exchange: template definitions, for use with other link types.
#pragma once

#include "target_exchange.h"

#include "log.h"
#include "settings.h"

#include <algorithm>
#include <random>
#include <utility>

namespace Robinrail {

namespace detail {

// A random identifier, not 0, for one run of the directory log.
inline std::uint64_t randomLogLife()
{
    std::random_device random;
    return (std::uint64_t{random()} << 32U | random()) | 1U;
}

// Whether a call of a target in this phase is answered only once enough replicas know of the phase.
inline bool needsConfirmation(TargetPhase phase)
{
    return phase == TargetPhase::Draining || phase == TargetPhase::Left;
}

} // namespace detail

template<ExchangeLinks Links>
BasicTargetExchange<Links>::BasicTargetExchange(
    Links &links, TimePoint now, const ReplicaLocation &self, Duration announceInterval, const LossTolerance &tolerance)
    : m_links(links)
    , m_announceInterval(announceInterval)
    , m_directory(announceInterval, announceInterval * MaxMissedAnnouncements + AnnouncementSlack)
    , m_publisher(m_directory, detail::randomLogLife())
    , m_localLeases(std::chrono::duration_cast<Duration>(announceInterval * LeaseInAnnounceIntervals))
    , m_reconciler(m_directory)
    , m_responder(m_directory)
    , m_drains(tolerance, self)
    , m_started(now)
    , m_lastRun(now)
{
}

// ---- Calls ----

template<ExchangeLinks Links>
void BasicTargetExchange<Links>::setServices(std::span<const std::string> services)
{
    m_directory.setServices(services);
}

template<ExchangeLinks Links>
void BasicTargetExchange<Links>::announce(TimePoint now, const TargetRecord &record, Respond respond)
{
    discountPause(now);
    ++m_announcements;
    for (const TargetStatus &status : m_directory.announce(now, record)) {
        propagate(now, status);
    }
    for (const TargetKey key : m_directory.takeAnnouncedHere()) {
        m_localLeases.renew(now, key);
    }
    const TargetRecord *known = m_directory.find(record.key);
    if (known != nullptr && detail::needsConfirmation(known->phase)) {
        return confirmDrain(now, *known, std::move(respond));
    }
    notifyReplicas(now);
    respond(known != nullptr || !m_directory.isKnownService(record.service));
}

template<ExchangeLinks Links>
void BasicTargetExchange<Links>::leave(TimePoint now, TargetKey key, std::uint64_t born, Respond respond)
{
    const std::optional<TargetStatus> status = m_directory.leave(now, key, born);
    if (!status) {
        // The lifetime is unknown or already over, so no balancer assigns flows to it.
        return respond(true);
    }
    propagate(now, *status);
    confirmDrain(now, status->record, std::move(respond));
}

template<ExchangeLinks Links>
bool BasicTargetExchange<Links>::lacksBirth(const TargetRecord &announced) const
{
    return m_directory.lacksBirth(announced);
}

template<ExchangeLinks Links>
bool BasicTargetExchange<Links>::isDraining(TargetKey key) const
{
    const TargetRecord *record = m_directory.find(key);
    return record != nullptr && record->phase == TargetPhase::Draining;
}

template<ExchangeLinks Links>
bool BasicTargetExchange<Links>::isSupersededAndSilent(TimePoint now, const TargetLifetime &lifetime) const
{
    return m_directory.isSupersededAndSilent(now, lifetime);
}

// Other replicas may have missed the change, so it is sent again until enough of them have confirmed it. A draining target
// continues to announce itself, which must not cause a message to all replicas each time once the drain is confirmed.
template<ExchangeLinks Links>
void BasicTargetExchange<Links>::confirmDrain(TimePoint now, const TargetRecord &record, Respond respond)
{
    const TargetLifetime lifetime{record.key, record.born};
    if (m_drains.confirmed(lifetime, record.phase)) {
        return respond(true);
    }
    m_changeBatch.add(record.key);
    notifyReplicas(now);
    m_drains.await(now, lifetime, record.phase, [this, began = now, respond = std::move(respond)](bool confirmed) {
        if (confirmed) {
            m_drainTimes.record(m_receiptsAt - began);
        }
        respond(confirmed);
    });
}

template<ExchangeLinks Links>
void BasicTargetExchange<Links>::expireDrains(TimePoint now)
{
    if (const std::size_t expired = m_drains.expire(now); expired > 0) {
        m_drainsUnanswered += expired;
        LogLine(LogLevel::Warning, "drain-not-shared").with("drains", expired);
    }
}

// ---- Changes ----

template<ExchangeLinks Links>
void BasicTargetExchange<Links>::propagate(TimePoint now, const TargetStatus &status)
{
    m_changed = true;
    m_changeBatch.add(status.record.key);
    notifyFollowers({&status, 1});
    if (const auto leftOut = m_changeLog.take(now)) {
        LogLine(LogLevel::Info, "target-changed")
            .with("target", value(status.record.key))
            .with("service", status.record.service)
            .with("address", toText(status.record.address))
            .with("phase", static_cast<int>(status.record.phase))
            .with("sequence", status.record.sequence)
            .with("silent-ms", status.age.count() / 1000)
            .with("left-out", *leftOut);
    }
}

// Sends pending changes to the other replicas, at most once per ChangeBatchInterval.
template<ExchangeLinks Links>
void BasicTargetExchange<Links>::notifyReplicas(TimePoint now)
{
    const std::vector<TargetKey> keys = m_changeBatch.take(now);
    for (std::span<const TargetKey> rest = keys; !rest.empty(); rest = rest.subspan(std::min(rest.size(), PageTargets))) {
        TargetStatusList list;
        for (const TargetKey key : rest.first(std::min(rest.size(), PageTargets))) {
            if (std::optional<TargetStatus> status = m_directory.status(now, key)) {
                list.statuses.push_back(std::move(*status));
            }
        }
        m_links.sendAll(m_links.dialled(), list);
    }
}

template<ExchangeLinks Links>
void BasicTargetExchange<Links>::onTargetStatuses(TimePoint now, ReplicaLinkId link, const TargetStatusList &list)
{
    m_reconciler.onProgress(now, link);
    std::vector<TargetStatus> changed;
    TargetReceipts receipts;
    for (const TargetStatus &status : list.statuses) {
        if (!status.isValid()) {
            logMalformed(now, "target-status");
            continue;
        }
        if (std::optional<TargetStatus> applied = m_directory.apply(now, status)) {
            changed.push_back(std::move(*applied));
        }
        if (detail::needsConfirmation(status.record.phase)) {
            receipts.receipts.push_back({{status.record.key, status.record.born}, status.record.phase});
        }
    }
    if (!receipts.receipts.empty()) {
        m_links.send(link, receipts);
    }
    m_changed = m_changed || !changed.empty();
    notifyFollowers(changed);
}

template<ExchangeLinks Links>
void BasicTargetExchange<Links>::onLeaseUpdate(TimePoint now, ReplicaLinkId link, const TargetLeaseUpdate &update)
{
    notifyFollowers(m_directory.renew(now, m_peerLeases.apply(link, update)));
    for (const ExpiredLease &lease : update.expired) {
        if (lease.age < Duration{0} || lease.age > MaxStatusTime) {
            logMalformed(now, "lease-update");
            continue;
        }
        if (!m_localLeases.holdsLease(lease.key) && !m_peerLeases.holdsLease(lease.key)) {
            m_directory.leaseExpired(now, lease);
        }
    }
}

template<ExchangeLinks Links>
void BasicTargetExchange<Links>::onReceipts(TimePoint now, const ReplicaLocation &from, const TargetReceipts &list)
{
    m_receiptsAt = now;
    for (const TargetReceipt &receipt : list.receipts) {
        m_drains.receipt(from, receipt.lifetime, receipt.phase);
    }
}

// ---- Comparison with other replicas ----

template<ExchangeLinks Links>
void BasicTargetExchange<Links>::linked(ReplicaId peer, ReplicaLinkId link)
{
    m_reconciler.linked(peer, link);
    if (m_links.isDialled(link)) {
        m_links.send(link, m_localLeases.snapshot()); // Heartbeats are sent on links dialled from here; this is the first.
    }
}

template<ExchangeLinks Links>
void BasicTargetExchange<Links>::onCompare(TimePoint now, ReplicaLinkId link, const DirectoryCompare &compare)
{
    if (!compare.isValid()) {
        return logMalformed(now, "directory-compare");
    }
    DirectoryDigest answer{informed(now), m_directory.digest(compare.buckets)};
    if (digestHash(answer.buckets) == compare.hash) {
        answer.buckets.clear();
    }
    m_links.send(link, answer);
}

template<ExchangeLinks Links>
void BasicTargetExchange<Links>::onDigest(TimePoint now, ReplicaLinkId link, const DirectoryDigest &digest)
{
    if (!digest.isValid()) {
        return logMalformed(now, "directory-digest");
    }
    if (const auto query = m_reconciler.onDigest(now, link, digest)) {
        LogLine(LogLevel::Info, "directory-differs").with("parts", query->wanted.size()).with("of", query->buckets);
        m_links.send(link, *query);
    }
    sendNextCompare(now);
}

template<ExchangeLinks Links>
void BasicTargetExchange<Links>::sendNextCompare(TimePoint now)
{
    if (const auto comparison = m_reconciler.nextComparison(now)) {
        m_links.send(comparison->link, comparison->compare);
    }
}

template<ExchangeLinks Links>
void BasicTargetExchange<Links>::onQuery(TimePoint now, ReplicaLinkId link, const DirectoryQuery &query)
{
    if (!query.isValid()) {
        return logMalformed(now, "directory-query");
    }
    m_responder.begin(link, query);
}

template<ExchangeLinks Links>
void BasicTargetExchange<Links>::onAnswered(ReplicaLinkId link, const DirectoryQueryDone &answer)
{
    m_reconciler.onQueryDone(link, answer);
}

template<ExchangeLinks Links>
void BasicTargetExchange<Links>::closed(ReplicaLinkId link)
{
    m_reconciler.closed(link);
    m_peerLeases.closed(link);
    m_responder.closed(link);
}

template<ExchangeLinks Links>
void BasicTargetExchange<Links>::reconcile(TimePoint now)
{
    sendNextCompare(now);
    m_responder.sendDue(now, informed(now), m_links);
}

template<ExchangeLinks Links>
void BasicTargetExchange<Links>::logMalformed(TimePoint now, std::string_view message)
{
    if (const auto leftOut = m_malformedLog.take(now)) {
        LogLine(LogLevel::Error, "message-malformed").with("message", message).with("left-out", *leftOut);
    }
}

// ---- Followers ----

template<ExchangeLinks Links>
void BasicTargetExchange<Links>::notifyFollowers(std::span<const TargetStatus> changed)
{
    for (const TargetStatus &status : changed) {
        m_publisher.changed(status.record.key);
    }
}

template<ExchangeLinks Links>
void BasicTargetExchange<Links>::follow(TimePoint now, ReplicaLinkId link, const FollowDirectory &request)
{
    if (!m_publisher.follow(link, request)) {
        LogLine(LogLevel::Info, "directory-told-anew").with("life", request.life).with("after", request.after);
    }
    m_publisher.publishTo(now, informed(now), link, m_links);
}

template<ExchangeLinks Links>
void BasicTargetExchange<Links>::unfollow(ReplicaLinkId link)
{
    m_publisher.unfollow(link);
}

template<ExchangeLinks Links>
void BasicTargetExchange<Links>::publish(TimePoint now)
{
    discountPause(now);
    notifyReplicas(now);
    if (now >= m_publishDue) {
        m_publishDue = now + PublishInterval;
        m_publisher.publish(now, informed(now), m_links);
    }
}

// ---- Restart, heartbeat and silence ----

template<ExchangeLinks Links>
void BasicTargetExchange<Links>::restore(TimePoint now, std::span<const TargetStatus> targets)
{
    m_restored = !targets.empty();
    for (const TargetStatus &status : targets) {
        m_directory.apply(now, {status.record, false, Duration{0}, status.known});
    }
    notifyFollowers(targets);
}

// A replica that has just woken knows nothing about the time in which it did not run. The events that are waiting are then
// handled in any order, so this is called first by all that depend on how long targets have been silent.
template<ExchangeLinks Links>
void BasicTargetExchange<Links>::discountPause(TimePoint now)
{
    const Duration pause = now - std::exchange(m_lastRun, now);
    if (pause >= MinDiscountedPause) {
        LogLine(LogLevel::Warning, "paused").with("ms", pause.count() / 1000).with("targets", m_directory.size());
        m_directory.discountPause(now, pause);
        m_localLeases.discountPause(now, pause);
    }
}

template<ExchangeLinks Links>
void BasicTargetExchange<Links>::sendHeartbeat(TimePoint now)
{
    discountPause(now);
    m_links.sendAll(m_links.dialled(), m_localLeases.takeChanges(now));
    const std::vector<TargetStatus> silent = m_directory.tick(now);
    for (const TargetStatus &status : silent) {
        logSilent(now, status);
    }
    notifyFollowers(silent);
    const std::vector<TargetKey> forgotten = m_directory.takeForgotten();
    m_publisher.forget(forgotten);
    for (const TargetKey key : forgotten) {
        m_drains.forget(key);
    }
}

template<ExchangeLinks Links>
void BasicTargetExchange<Links>::logSilent(TimePoint now, const TargetStatus &status)
{
    if (const auto leftOut = m_silentLog.take(now)) {
        LogLine(LogLevel::Warning, "target-silent")
            .with("target", value(status.record.key))
            .with("silent-ms", status.age.count() / 1000)
            .with("left-out", *leftOut);
    }
}

// Whether all running targets have had time to announce themselves, here or at another replica.
template<ExchangeLinks Links>
bool BasicTargetExchange<Links>::informed(TimePoint now) const
{
    return m_restored || m_reconciler.informed() || now - m_started >= m_announceInterval * MaxMissedAnnouncements;
}

// ---- Accessors ----

template<ExchangeLinks Links>
std::vector<TargetStatus> BasicTargetExchange<Links>::all(TimePoint now) const
{
    return m_directory.all(now);
}

template<ExchangeLinks Links>
bool BasicTargetExchange<Links>::takeChanged()
{
    return std::exchange(m_changed, false);
}

template<ExchangeLinks Links>
std::size_t BasicTargetExchange<Links>::size() const
{
    return m_directory.size();
}

template<ExchangeLinks Links>
std::size_t BasicTargetExchange<Links>::followers() const
{
    return m_publisher.followers();
}

template<ExchangeLinks Links>
std::uint64_t BasicTargetExchange<Links>::announcements() const
{
    return m_announcements;
}

template<ExchangeLinks Links>
const LatencyHistogram &BasicTargetExchange<Links>::drainTimes() const
{
    return m_drainTimes;
}

template<ExchangeLinks Links>
std::uint64_t BasicTargetExchange<Links>::drainsUnanswered() const
{
    return m_drainsUnanswered;
}

} // namespace Robinrail

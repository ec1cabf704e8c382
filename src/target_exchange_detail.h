// SPDX-License-Identifier: MIT
// Target exchange: the definitions, for those who bring links of their own.
#pragma once

#include "target_exchange.h"

#include "log.h"
#include "settings.h"

#include <algorithm>
#include <random>
#include <utility>

namespace Robinrail {

namespace detail {

// Any number but 0, that no other process has.
inline std::uint64_t newLife()
{
    std::random_device random;
    return (std::uint64_t{random()} << 32U | random()) | 1U;
}

} // namespace detail

template<ExchangeLinks Links>
BasicTargetExchange<Links>::BasicTargetExchange(Links &links, TimePoint now, const ReplicaLocation &self, Duration announceInterval, const LossTolerance &borne)
    : m_links(links)
    , m_announceInterval(announceInterval)
    , m_directory(announceInterval, announceInterval * MissedAnnouncements + AnnouncementSlack)
    , m_publisher(m_directory, detail::newLife())
    , m_heard(std::chrono::duration_cast<Duration>(announceInterval * HeardLease))
    , m_reconciler(m_directory)
    , m_answers(m_directory)
    , m_drains(borne, self)
    , m_started(now)
{
}

// ---- Calls ----

template<ExchangeLinks Links>
void BasicTargetExchange<Links>::announce(TimePoint now, const TargetRecord &record, Respond respond)
{
    ++m_announcements;
    for (const TargetStatus &news : m_directory.announce(now, record)) {
        spread(now, news);
    }
    for (const TargetKey key : m_directory.takeHeardHere()) {
        m_heard.heard(now, key);
    }
    const TargetRecord *known = m_directory.find(record.key);
    if (known != nullptr && known->phase != TargetPhase::Serving) {
        return confirm(now, *known, std::move(respond));
    }
    tellReplicas(now);
    respond(known != nullptr);
}

template<ExchangeLinks Links>
void BasicTargetExchange<Links>::leave(TimePoint now, TargetKey key, std::uint64_t born, Respond respond)
{
    const std::optional<TargetStatus> news = m_directory.leave(now, key, born);
    if (!news) {
        // Nobody here knows that lifetime, so nobody sends it anything either.
        return respond(true);
    }
    spread(now, *news);
    confirm(now, news->record, std::move(respond));
}

// Others may have missed the news that began this, so they are told again until enough of them have confirmed it. A target
// that drains goes on announcing that, and must not cost a round of all replicas each time.
template<ExchangeLinks Links>
void BasicTargetExchange<Links>::confirm(TimePoint now, const TargetRecord &record, Respond respond)
{
    const TargetLifetime lifetime{record.key, record.born};
    if (m_drains.confirmed(lifetime, record.phase)) {
        return respond(true);
    }
    m_news.add(record.key);
    tellReplicas(now);
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

// ---- News ----

template<ExchangeLinks Links>
void BasicTargetExchange<Links>::spread(TimePoint now, const TargetStatus &news)
{
    m_changed = true;
    m_news.add(news.record.key);
    tellFollowers({&news, 1});
    if (const auto leftOut = m_newsLog.take(now)) {
        LogLine(LogLevel::Info, "target-changed")
            .with("target", value(news.record.key))
            .with("service", news.record.service)
            .with("address", toText(news.record.address))
            .with("phase", static_cast<int>(news.record.phase))
            .with("sequence", news.record.sequence)
            .with("left-out", *leftOut);
    }
}

// Tells the other replicas what changed here, unless they were told a moment ago.
template<ExchangeLinks Links>
void BasicTargetExchange<Links>::tellReplicas(TimePoint now)
{
    const std::vector<TargetKey> keys = m_news.take(now);
    for (std::span<const TargetKey> left = keys; !left.empty(); left = left.subspan(std::min(left.size(), PageTargets))) {
        TargetStatusList list;
        for (const TargetKey key : left.first(std::min(left.size(), PageTargets))) {
            if (std::optional<TargetStatus> status = m_directory.status(now, key)) {
                list.statuses.push_back(std::move(*status));
            }
        }
        m_links.sendAll(m_links.dialled(), list);
    }
}

template<ExchangeLinks Links>
void BasicTargetExchange<Links>::onNews(TimePoint now, ReplicaLinkId link, const TargetStatusList &list)
{
    m_reconciler.progressed(now, link);
    std::vector<TargetStatus> changed;
    TargetReceipts receipts;
    for (const TargetStatus &news : list.statuses) {
        if (std::optional<TargetStatus> taken = m_directory.take(now, news)) {
            changed.push_back(std::move(*taken));
        }
        if (news.record.phase != TargetPhase::Serving) {
            receipts.receipts.push_back({{news.record.key, news.record.born}, news.record.phase});
        }
    }
    if (!receipts.receipts.empty()) {
        m_links.send(link, receipts);
    }
    m_changed = m_changed || !changed.empty();
    tellFollowers(changed);
}

template<ExchangeLinks Links>
void BasicTargetExchange<Links>::onHeard(TimePoint now, ReplicaLinkId link, const TargetsHeard &beat)
{
    tellFollowers(m_directory.heard(now, m_heardElsewhere.take(link, beat)));
    for (const MissedTarget &missed : beat.missed) {
        if (!m_heard.vouchesFor(missed.key) && !m_heardElsewhere.vouchesFor(missed.key)) {
            m_directory.missed(now, missed);
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

// ---- What other replicas know ----

template<ExchangeLinks Links>
void BasicTargetExchange<Links>::linked(ReplicaId peer, ReplicaLinkId link)
{
    m_reconciler.linked(peer, link);
    if (m_links.isDialled(link)) {
        m_links.send(link, m_heard.whole()); // Beats go on the links that were dialled from here, and this is the first.
    }
}

template<ExchangeLinks Links>
void BasicTargetExchange<Links>::onCompare(TimePoint now, ReplicaLinkId link, const DirectoryCompare &compare)
{
    if (!compare.isSound()) {
        return refuseMalformed(now, "directory-compare");
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
    if (!digest.isSound()) {
        return refuseMalformed(now, "directory-digest");
    }
    if (const auto query = m_reconciler.digest(now, link, digest)) {
        LogLine(LogLevel::Info, "directory-differs").with("parts", query->wanted.size()).with("of", query->buckets);
        m_links.send(link, *query);
    }
    askNext(now);
}

template<ExchangeLinks Links>
void BasicTargetExchange<Links>::askNext(TimePoint now)
{
    if (const auto question = m_reconciler.ask(now)) {
        m_links.send(question->link, question->compare);
    }
}

template<ExchangeLinks Links>
void BasicTargetExchange<Links>::onQuery(TimePoint now, ReplicaLinkId link, const DirectoryQuery &query)
{
    if (!query.isSound()) {
        return refuseMalformed(now, "directory-query");
    }
    m_answers.begin(link, query);
}

template<ExchangeLinks Links>
void BasicTargetExchange<Links>::onAnswered(ReplicaLinkId link, const DirectoryAnswered &answer)
{
    m_reconciler.answered(link, answer);
}

template<ExchangeLinks Links>
void BasicTargetExchange<Links>::closed(ReplicaLinkId link)
{
    m_reconciler.closed(link);
    m_heardElsewhere.closed(link);
    m_answers.closed(link);
}

template<ExchangeLinks Links>
void BasicTargetExchange<Links>::reconcile(TimePoint now)
{
    askNext(now);
    m_answers.turn(now, informed(now), m_links);
}

template<ExchangeLinks Links>
void BasicTargetExchange<Links>::refuseMalformed(TimePoint now, std::string_view message)
{
    if (const auto leftOut = m_malformedLog.take(now)) {
        LogLine(LogLevel::Error, "message-malformed").with("message", message).with("left-out", *leftOut);
    }
}

// ---- Followers ----

template<ExchangeLinks Links>
void BasicTargetExchange<Links>::tellFollowers(std::span<const TargetStatus> changed)
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
    tellReplicas(now);
    if (now >= m_publishDue) {
        m_publishDue = now + PublishInterval;
        m_publisher.publish(now, informed(now), m_links);
    }
}

// ---- Whom to tell when ----

template<ExchangeLinks Links>
void BasicTargetExchange<Links>::restore(TimePoint now, std::span<const TargetStatus> targets)
{
    m_restored = !targets.empty();
    for (const TargetStatus &status : targets) {
        m_directory.take(now, {status.record, false, Duration{0}, status.known});
    }
    tellFollowers(targets);
}

template<ExchangeLinks Links>
void BasicTargetExchange<Links>::beat(TimePoint now)
{
    m_links.sendAll(m_links.dialled(), m_heard.changes(now));
    const std::vector<TargetStatus> silent = m_directory.tick(now);
    for (const TargetStatus &news : silent) {
        logSilent(now, news);
    }
    tellFollowers(silent);
    const std::vector<TargetKey> forgotten = m_directory.takeForgotten();
    m_publisher.forget(forgotten);
    for (const TargetKey key : forgotten) {
        m_drains.forget(key);
    }
}

template<ExchangeLinks Links>
void BasicTargetExchange<Links>::logSilent(TimePoint now, const TargetStatus &news)
{
    if (const auto leftOut = m_silentLog.take(now)) {
        LogLine(LogLevel::Warning, "target-silent")
            .with("target", value(news.record.key))
            .with("silent-ms", news.age.count() / 1000)
            .with("left-out", *leftOut);
    }
}

// Whether the targets that are there have had time to announce themselves, here or at another replica.
template<ExchangeLinks Links>
bool BasicTargetExchange<Links>::informed(TimePoint now) const
{
    return m_restored || m_reconciler.informed() || now - m_started >= m_announceInterval * MissedAnnouncements;
}

// ---- Small questions ----

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

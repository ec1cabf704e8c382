// SPDX-License-Identifier: MIT
// Target exchange: implementation.
#include "target_exchange.h"

#include "log.h"
#include "net.h"
#include "settings.h"

#include <algorithm>
#include <random>
#include <utility>

namespace Robinrail {

namespace {

// Any number but 0, that no other process has.
std::uint64_t newLife()
{
    std::random_device random;
    return (std::uint64_t{random()} << 32U | random()) | 1U;
}

} // namespace

TargetExchange::TargetExchange(NodeLinks &links, TimePoint now, const ReplicaPlace &self, Duration announceInterval, const LossTolerance &borne)
    : m_links(links)
    , m_announceInterval(announceInterval)
    , m_directory(announceInterval, announceInterval * MissedAnnouncements + AnnouncementSlack)
    , m_publisher(m_directory, newLife())
    , m_heard(std::chrono::duration_cast<Duration>(announceInterval * HeardLease))
    , m_reconciler(m_directory)
    , m_answers(m_directory)
    , m_drains(borne, self)
    , m_started(now)
{
}

// ---- Calls ----

void TargetExchange::announce(const TargetRecord &record, Respond respond)
{
    ++m_announcements;
    for (const TargetStatus &news : m_directory.announce(monotonicNow(), record)) {
        spread(news);
    }
    for (const TargetKey key : m_directory.takeHeardHere()) {
        m_heard.heard(monotonicNow(), key);
    }
    const TargetRecord *known = m_directory.find(record.key);
    if (known != nullptr && known->phase != TargetPhase::Serving) {
        return confirm(*known, std::move(respond));
    }
    tellReplicas(monotonicNow());
    respond(known != nullptr);
}

void TargetExchange::leave(TargetKey key, std::uint64_t born, Respond respond)
{
    const std::optional<TargetStatus> news = m_directory.leave(monotonicNow(), key, born);
    if (!news) {
        // Nobody here knows that lifetime, so nobody sends it anything either.
        return respond(true);
    }
    spread(*news);
    confirm(news->record, std::move(respond));
}

// Others may have missed the news that began this, so they are told again until enough of them have confirmed it. A target
// that drains goes on announcing that, and must not cost a round of all replicas each time.
void TargetExchange::confirm(const TargetRecord &record, Respond respond)
{
    const TargetLifetime lifetime{record.key, record.born};
    if (m_drains.confirmed(lifetime, record.phase)) {
        return respond(true);
    }
    const TimePoint began = monotonicNow();
    m_news.add(record.key);
    tellReplicas(began);
    m_drains.await(began, lifetime, record.phase, [this, began, respond = std::move(respond)](bool confirmed) {
        if (confirmed) {
            m_drainTimes.record(monotonicNow() - began);
        }
        respond(confirmed);
    });
}

void TargetExchange::expireDrains(TimePoint now)
{
    if (const std::size_t expired = m_drains.expire(now); expired > 0) {
        m_drainsUnanswered += expired;
        LogLine(LogLevel::Warning, "drain-not-shared").with("drains", expired);
    }
}

// ---- News ----

void TargetExchange::spread(const TargetStatus &news)
{
    m_changed = true;
    m_news.add(news.record.key);
    tellFollowers({&news, 1});
    if (const auto leftOut = m_newsLog.take(monotonicNow())) {
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
void TargetExchange::tellReplicas(TimePoint now)
{
    const std::vector<TargetKey> keys = m_news.take(now);
    for (std::span<const TargetKey> left = keys; !left.empty(); left = left.subspan(std::min(left.size(), PageTargets))) {
        TargetStatusList list;
        for (const TargetKey key : left.first(std::min(left.size(), PageTargets))) {
            if (std::optional<TargetStatus> status = m_directory.status(now, key)) {
                list.news.push_back(std::move(*status));
            }
        }
        m_links.sendAll(m_links.dialled(), list);
    }
}

void TargetExchange::onNews(LinkHandle link, const TargetStatusList &list)
{
    m_reconciler.progressed(monotonicNow(), link);
    std::vector<TargetStatus> changed;
    TargetReceipts receipts;
    for (const TargetStatus &news : list.news) {
        if (std::optional<TargetStatus> taken = m_directory.take(monotonicNow(), news)) {
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

void TargetExchange::onHeard(LinkHandle link, const TargetsHeard &beat)
{
    const TimePoint now = monotonicNow();
    tellFollowers(m_directory.heard(now, m_heardElsewhere.take(link, beat)));
    for (const MissedTarget &missed : beat.missed) {
        if (!m_heard.vouchesFor(missed.key) && !m_heardElsewhere.vouchesFor(missed.key)) {
            m_directory.missed(now, missed);
        }
    }
}

void TargetExchange::onReceipts(const ReplicaPlace &from, const TargetReceipts &list)
{
    for (const TargetReceipt &receipt : list.receipts) {
        m_drains.receipt(from, receipt.lifetime, receipt.phase);
    }
}

// ---- What other replicas know ----

void TargetExchange::greet(TimePoint now, LinkHandle link)
{
    if (m_digest.empty()) {
        m_digest = m_directory.digest(digestBuckets(m_directory.size()));
    }
    m_links.send(link, DirectoryDigest{informed(now), m_digest});
    if (m_links.isDialled(link)) {
        m_links.send(link, m_heard.whole()); // Beats go on the links that were dialled from here, and this is the first.
    }
}

void TargetExchange::onDigest(ReplicaId from, LinkHandle link, const DirectoryDigest &digest)
{
    if (!digest.isSound()) {
        return refuseMalformed("directory-digest");
    }
    m_reconciler.digest(from, link, digest);
}

void TargetExchange::onQuery(LinkHandle link, const DirectoryQuery &query)
{
    if (!query.isSound()) {
        return refuseMalformed("directory-query");
    }
    m_answers.begin(link, query);
}

void TargetExchange::onAnswered(LinkHandle link, const DirectoryAnswered &answer)
{
    m_reconciler.answered(link, answer);
}

void TargetExchange::closed(LinkHandle link)
{
    m_reconciler.closed(link);
    m_heardElsewhere.closed(link);
    m_answers.closed(link);
}

void TargetExchange::reconcile(TimePoint now)
{
    if (const auto question = m_reconciler.ask(now)) {
        LogLine(LogLevel::Info, "directory-differs").with("parts", question->query.wanted.size()).with("of", question->query.buckets);
        m_links.send(question->link, question->query);
    }
    m_answers.turn(now, informed(now), m_links);
}

void TargetExchange::refuseMalformed(std::string_view message)
{
    if (const auto leftOut = m_malformedLog.take(monotonicNow())) {
        LogLine(LogLevel::Error, "message-malformed").with("message", message).with("left-out", *leftOut);
    }
}

// ---- Followers ----

void TargetExchange::tellFollowers(std::span<const TargetStatus> changed)
{
    for (const TargetStatus &status : changed) {
        m_digest.clear();
        m_publisher.changed(status.record.key);
    }
}

void TargetExchange::follow(TimePoint now, LinkHandle link, const FollowDirectory &request)
{
    if (!m_publisher.follow(link, request)) {
        LogLine(LogLevel::Info, "directory-told-anew").with("life", request.life).with("after", request.after);
    }
    m_publisher.publishTo(now, informed(now), link, m_links);
}

void TargetExchange::unfollow(LinkHandle link)
{
    m_publisher.unfollow(link);
}

void TargetExchange::publish(TimePoint now)
{
    tellReplicas(now);
    if (now >= m_publishDue) {
        m_publishDue = now + PublishInterval;
        m_publisher.publish(now, informed(now), m_links);
    }
}

// ---- Whom to tell when ----

void TargetExchange::restore(TimePoint now, std::span<const TargetStatus> targets)
{
    m_restored = !targets.empty();
    for (const TargetStatus &status : targets) {
        m_directory.take(now, {status.record, false, Duration{0}, status.known});
    }
    tellFollowers(targets);
}

void TargetExchange::beat(TimePoint now)
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

void TargetExchange::logSilent(TimePoint now, const TargetStatus &news)
{
    if (const auto leftOut = m_silentLog.take(now)) {
        LogLine(LogLevel::Warning, "target-silent")
            .with("target", value(news.record.key))
            .with("silent-ms", news.age.count() / 1000)
            .with("left-out", *leftOut);
    }
}

// Whether the targets that are there have had time to announce themselves, here or at another replica.
bool TargetExchange::informed(TimePoint now) const
{
    return m_restored || m_reconciler.informed() || now - m_started >= m_announceInterval * MissedAnnouncements;
}

// ---- Small questions ----

std::vector<TargetStatus> TargetExchange::all(TimePoint now) const
{
    return m_directory.all(now);
}

bool TargetExchange::takeChanged()
{
    return std::exchange(m_changed, false);
}

std::size_t TargetExchange::size() const
{
    return m_directory.size();
}

std::size_t TargetExchange::followers() const
{
    return m_publisher.followers();
}

std::uint64_t TargetExchange::announcements() const
{
    return m_announcements;
}

const LatencyHistogram &TargetExchange::drainTimes() const
{
    return m_drainTimes;
}

std::uint64_t TargetExchange::drainsUnanswered() const
{
    return m_drainsUnanswered;
}

} // namespace Robinrail

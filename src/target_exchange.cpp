// SPDX-License-Identifier: MIT
// Target exchange: implementation.
#include "target_exchange.h"

#include "log.h"
#include "net.h"
#include "settings.h"

#include <utility>

namespace Robinrail {

TargetExchange::TargetExchange(NodeLinks &links, TimePoint now, Duration announceInterval, std::size_t borneLosses)
    : m_links(links)
    , m_announceInterval(announceInterval)
    , m_borneLosses(borneLosses)
    , m_directory(announceInterval, announceInterval * MissedAnnouncements + AnnouncementSlack)
    , m_drains(borneLosses)
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
    const TargetRecord *known = m_directory.find(record.key);
    if (known == nullptr) {
        return respond(false);
    }
    if (known->phase == TargetPhase::Serving) {
        return respond(true);
    }
    confirm(*known, std::move(respond));
}

void TargetExchange::leave(TargetKey key, Respond respond)
{
    const std::optional<TargetStatus> news = m_directory.leave(monotonicNow(), key);
    if (!news) {
        // Nobody here knows it, so nobody sends it anything either.
        return respond(true);
    }
    spread(*news);
    confirm(news->record, std::move(respond));
}

// Others may have missed the news that began this, so they are told again.
void TargetExchange::confirm(const TargetRecord &record, Respond respond)
{
    m_links.sendAll(m_links.dialled(), TargetStatusList{{{record, false, Duration{0}, Duration{0}}}});
    const TimePoint began = monotonicNow();
    m_drains.await(began, record.key, record.phase, [this, began, respond = std::move(respond)](bool confirmed) {
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
        LogLine(LogLevel::Warning, "drain-not-shared").with("drains", expired).with("needed", m_borneLosses);
    }
}

// ---- News ----

void TargetExchange::spread(const TargetStatus &news)
{
    const TargetStatusList list{{news}};
    m_changed = true;
    m_links.sendAll(m_links.dialled(), list);
    tellBalancers(list);
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

void TargetExchange::onNews(LinkHandle link, const TargetStatusList &list)
{
    TargetStatusList changed;
    for (const TargetStatus &news : list.news) {
        if (std::optional<TargetStatus> taken = m_directory.take(monotonicNow(), news)) {
            changed.news.push_back(std::move(*taken));
        }
        if (news.record.phase != TargetPhase::Serving) {
            m_links.send(link, TargetReceipt{news.record.key, news.record.phase});
        }
    }
    m_changed = m_changed || !changed.news.empty();
    tellBalancers(changed);
}

void TargetExchange::tellBalancers(const TargetStatusList &list)
{
    if (!list.news.empty()) {
        m_greeting.clear();
        m_links.sendAll(m_links.acceptedFrom(NodeRole::Balancer), list);
    }
}

void TargetExchange::onHeard(const TargetsHeard &heard)
{
    tellBalancers({m_directory.heard(monotonicNow(), heard.keys)});
}

void TargetExchange::onReceipt(ReplicaId from, const TargetReceipt &receipt)
{
    m_drains.receipt(from, receipt.key, receipt.phase);
}

void TargetExchange::onTold()
{
    m_toldByOther = true;
}

// ---- Whom to tell when ----

void TargetExchange::restore(TimePoint now, std::span<const TargetStatus> targets)
{
    m_restored = !targets.empty();
    for (const TargetStatus &status : targets) {
        m_directory.take(now, {status.record, false, Duration{0}, status.known});
    }
}

void TargetExchange::greet(TimePoint now, LinkHandle link)
{
    makeGreeting(now);
    m_links.sendEncoded(link, m_greeting);
    if (informed(now)) {
        m_links.send(link, TargetsTold{});
    }
}

// A change since then makes it stale at once: whoever links up after the change was told must not miss it.
void TargetExchange::makeGreeting(TimePoint now)
{
    if (m_greeting.empty() || now - m_greetingMade >= GreetingLifetime) {
        m_greeting = encodeMessage(NodeMessage(TargetStatusList{m_directory.all(now)}));
        m_greetingMade = now;
    }
}

void TargetExchange::beat(TimePoint now)
{
    TargetsHeard heard{m_directory.takeHeardHere()};
    if (!heard.keys.empty()) {
        m_links.sendAll(m_links.dialled(), heard);
    }
    const TargetStatusList silent{m_directory.tick(now)};
    for (const TargetStatus &news : silent.news) {
        logSilent(now, news);
    }
    tellBalancers(silent);
    if (!m_toldBalancers && informed(now)) {
        m_toldBalancers = true;
        m_links.sendAll(m_links.acceptedFrom(NodeRole::Balancer), TargetsTold{});
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
    return m_restored || m_toldByOther || now - m_started >= m_announceInterval * MissedAnnouncements;
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

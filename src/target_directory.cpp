// SPDX-License-Identifier: MIT
// Target directory: implementation.
#include "target_directory.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace Robinrail {

namespace {

// Announcements that are counted to tell the age of a lifetime: a day of those each second. A sequence number is what
// a target says, and must not take a time beyond what a clock can hold.
constexpr std::uint64_t MaxCountedIntervals = 86'400;

} // namespace

TargetDirectory::TargetDirectory(Duration announceInterval, Duration silenceLimit)
    : m_announceInterval(announceInterval)
    , m_silenceLimit(silenceLimit)
{
}

std::vector<TargetStatus> TargetDirectory::announce(TimePoint now, const TargetRecord &record)
{
    std::vector<TargetStatus> news;
    const TargetRecord *known = find(record.key);
    if (known != nullptr && record.born < known->born) {
        return news; // Held up on its way: its lifetime was ended by the one that is held.
    }
    m_announcedHere.push_back(record.key);
    if (known == nullptr || known->phase != TargetPhase::Left || record.born > known->born) {
        news = endOlderLifetimes(now, record);
    }
    if (std::optional<TargetStatus> own = take(now, {record, false, Duration{0}})) {
        news.push_back(std::move(*own));
    }
    return news;
}

// An address passes on only after its target has ended, so of two lifetimes there the older one is over. Which one
// that is can't be told from the order in which they are heard here: an announcement that was held up on its way may
// come after its sender's end and its successor's first one. Hence a lifetime ends only those that were heard of before
// it. A wrong end would be for good and reset live flows, so they must have missed their turn as well. A target that
// restarts at once is there before that; this is therefore asked at each announcement and not only at the first.
std::vector<TargetStatus> TargetDirectory::endOlderLifetimes(TimePoint now, const TargetRecord &record)
{
    std::vector<TargetStatus> ended;
    const TimePoint since = firstHeard(now, record);
    const auto [first, last] = m_addresses.equal_range(record.address);
    for (auto at = first; at != last; ++at) {
        Entry &entry = m_entries.at(at->second);
        const bool older = at->second != record.key && entry.firstHeard < since && entry.record.phase != TargetPhase::Left;
        if (older && isOverdue(now, entry)) {
            entry.record.phase = TargetPhase::Left;
            entry.heard = now;
            ended.push_back(newsOf(entry, now));
        }
    }
    return ended;
}

bool TargetDirectory::isOverdue(TimePoint now, const Entry &entry) const
{
    return now - entry.heard >= m_silenceLimit / 2;
}

bool TargetDirectory::isOverdue(TimePoint now, TargetKey key) const
{
    const auto found = m_entries.find(key);
    return found != m_entries.end() && isOverdue(now, found->second);
}

// Since when a lifetime is known. Of one that is new here its announcements tell: one for each interval. That is the
// longest that it can have lived, as calls that failed count, too; an unknown one is rather taken for the older.
TimePoint TargetDirectory::firstHeard(TimePoint now, const TargetRecord &record) const
{
    const auto found = m_entries.find(record.key);
    if (found != m_entries.end() && record.born <= found->second.record.born) {
        return found->second.firstHeard;
    }
    const std::uint64_t before = record.sequence > 0 ? record.sequence - 1 : 0;
    return now - m_announceInterval * static_cast<std::int64_t>(std::min(before, MaxCountedIntervals));
}

std::optional<TargetStatus> TargetDirectory::take(TimePoint now, const TargetStatus &news)
{
    const auto found = m_entries.find(news.record.key);
    if (found == m_entries.end()) {
        if (m_entries.size() >= MaxDirectoryTargets) {
            return std::nullopt;
        }
        const TimePoint since = std::min(firstHeard(now - news.age, news.record), now - news.known);
        const Entry &entry = m_entries[news.record.key] = {news.record, now - news.age, since, news.silent};
        m_addresses.emplace(news.record.address, news.record.key);
        return newsOf(entry, now);
    }
    Entry &entry = found->second;
    if (news.record.born != entry.record.born) {
        return news.record.supersedes(entry.record) ? std::optional(beginLifetime(now, entry, news)) : std::nullopt;
    }
    const bool cooled = restartsWarmup(news, entry, now);
    entry.heard = std::max(entry.heard, now - news.age);
    entry.firstHeard = std::min(entry.firstHeard, now - news.known);
    const bool wasSilent = std::exchange(entry.silent, entry.silent && now - entry.heard >= m_silenceLimit);
    if (!news.record.supersedes(entry.record)) {
        return wasSilent && !entry.silent ? std::optional(newsOf(entry, now)) : std::nullopt;
    }
    const bool changed = news.record.differs(entry.record) || wasSilent || cooled;
    setRecord(entry, news.record);
    return changed ? std::optional(newsOf(entry, now)) : std::nullopt;
}

// A target started again under its key. Nothing that was heard of its former lifetime holds for this one.
TargetStatus TargetDirectory::beginLifetime(TimePoint now, Entry &entry, const TargetStatus &news)
{
    entry.firstHeard = std::min(firstHeard(now - news.age, news.record), now - news.known);
    entry.heard = now - news.age;
    entry.silent = news.silent;
    setRecord(entry, news.record);
    return newsOf(entry, now);
}

// Whether a target has begun to warm up anew without a restart, as after it rested: balancers, which count the time that
// they were told down, must hear of it.
bool TargetDirectory::restartsWarmup(const TargetStatus &news, const Entry &entry, TimePoint now)
{
    const TimePoint warm = now - news.age + news.record.warmupLeft;
    const TimePoint known = entry.heard + entry.record.warmupLeft;
    return news.record.warmupLeft > Duration{0} && warm - known >= WarmupSlack;
}

void TargetDirectory::setRecord(Entry &entry, const TargetRecord &record)
{
    if (record.address != entry.record.address) {
        unindex(entry.record);
        m_addresses.emplace(record.address, record.key);
    }
    entry.record = record;
}

void TargetDirectory::unindex(const TargetRecord &record)
{
    const auto [first, last] = m_addresses.equal_range(record.address);
    const auto found = std::find_if(first, last, [&record](const auto &each) {
        return each.second == record.key;
    });
    assert(found != last);
    m_addresses.erase(found);
}

std::optional<TargetStatus> TargetDirectory::leave(TimePoint now, TargetKey key, std::uint64_t born)
{
    const auto found = m_entries.find(key);
    if (found == m_entries.end() || (born != 0 && born < found->second.record.born)) {
        return std::nullopt;
    }
    found->second.record.phase = TargetPhase::Left;
    found->second.heard = now;
    return newsOf(found->second, now);
}

std::vector<TargetStatus> TargetDirectory::heard(TimePoint now, std::span<const TargetKey> keys)
{
    std::vector<TargetStatus> back;
    for (const TargetKey key : keys) {
        const auto found = m_entries.find(key);
        if (found == m_entries.end()) {
            continue;
        }
        found->second.heard = now;
        if (std::exchange(found->second.silent, false)) {
            back.push_back(newsOf(found->second, now));
        }
    }
    return back;
}

void TargetDirectory::missed(TimePoint now, const ExpiredLease &target)
{
    const auto found = m_entries.find(target.key);
    if (found != m_entries.end() && found->second.record.phase != TargetPhase::Left) {
        found->second.heard = std::min(found->second.heard, now - target.age);
    }
}

std::vector<TargetStatus> TargetDirectory::tick(TimePoint now)
{
    std::vector<TargetStatus> fallen;
    for (auto &[key, entry] : m_entries) {
        const bool left = entry.record.phase == TargetPhase::Left;
        if (!left && !entry.silent && now - entry.heard >= m_silenceLimit) {
            entry.silent = true;
            fallen.push_back(newsOf(entry, now));
        }
    }
    std::erase_if(m_entries, [this, now](const auto &each) {
        const bool left = each.second.record.phase == TargetPhase::Left;
        if (now - each.second.heard < (left ? LeftTargetRetention : SilentTargetRetention)) {
            return false;
        }
        unindex(each.second.record);
        m_forgotten.push_back(each.first);
        return true;
    });
    return fallen;
}

std::vector<TargetKey> TargetDirectory::takeAnnouncedHere()
{
    return std::exchange(m_announcedHere, {});
}

std::vector<TargetKey> TargetDirectory::takeForgotten()
{
    return std::exchange(m_forgotten, {});
}

// Sums, as they do not depend on the order of the targets.
std::vector<std::uint32_t> TargetDirectory::digest(std::size_t buckets) const
{
    std::vector<std::uint32_t> sums(buckets);
    for (const auto &[key, entry] : m_entries) {
        sums[digestBucket(key, buckets)] += digestOf(entry.record);
    }
    return sums;
}

std::vector<TargetKey> TargetDirectory::keysIn(const DirectoryQuery &query) const
{
    std::vector<bool> wanted(query.buckets);
    for (const std::uint32_t bucket : query.wanted) {
        wanted[bucket] = true;
    }
    std::vector<TargetKey> keys;
    for (const auto &[key, entry] : m_entries) {
        if (wanted[digestBucket(key, query.buckets)]) {
            keys.push_back(key);
        }
    }
    return keys;
}

std::optional<TargetStatus> TargetDirectory::status(TimePoint now, TargetKey key) const
{
    const auto found = m_entries.find(key);
    return found != m_entries.end() ? std::optional(newsOf(found->second, now)) : std::nullopt;
}

std::vector<TargetStatus> TargetDirectory::all(TimePoint now) const
{
    std::vector<TargetStatus> list;
    list.reserve(m_entries.size());
    for (const auto &[key, entry] : m_entries) {
        list.push_back(newsOf(entry, now));
    }
    return list;
}

const TargetRecord *TargetDirectory::find(TargetKey key) const
{
    const auto found = m_entries.find(key);
    return found != m_entries.end() ? &found->second.record : nullptr;
}

std::size_t TargetDirectory::size() const
{
    return m_entries.size();
}

TargetStatus TargetDirectory::newsOf(const Entry &entry, TimePoint now) const
{
    TargetStatus news{entry.record, entry.silent, now - entry.heard, now - entry.firstHeard};
    news.record.warmupLeft = std::max(Duration{0}, entry.record.warmupLeft - news.age);
    return news;
}

} // namespace Robinrail

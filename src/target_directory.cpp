// SPDX-License-Identifier: MIT
// Target directory: implementation.
#include "target_directory.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace Robinrail {

TargetDirectory::TargetDirectory(Duration silenceLimit)
    : m_silenceLimit(silenceLimit)
{
}

std::vector<TargetStatus> TargetDirectory::announce(TimePoint now, const TargetRecord &record)
{
    m_heardHere.push_back(record.key);
    std::vector<TargetStatus> news;
    const TargetRecord *known = find(record.key);
    if (known == nullptr || known->phase != TargetPhase::Left) {
        news = endOthersAt(now, record);
    }
    if (std::optional<TargetStatus> own = take(now, {record, false, Duration{0}})) {
        news.push_back(std::move(*own));
    }
    return news;
}

// An address passes on only after its target has ended. An announcement that was held up on its way may still
// come after its sender's end, so only a target that missed its turn is taken for ended. A target that
// restarts at once is there before that, hence the question at each announcement and not only at the first.
std::vector<TargetStatus> TargetDirectory::endOthersAt(TimePoint now, const TargetRecord &record)
{
    std::vector<TargetStatus> ended;
    const auto [first, last] = m_addresses.equal_range(record.address);
    for (auto at = first; at != last; ++at) {
        Entry &entry = m_entries.at(at->second);
        const bool other = at->second != record.key && entry.record.phase != TargetPhase::Left;
        if (other && now - entry.heard >= m_silenceLimit / 2) {
            entry.record.phase = TargetPhase::Left;
            entry.heard = now;
            ended.push_back(newsOf(entry, now));
        }
    }
    return ended;
}

std::optional<TargetStatus> TargetDirectory::take(TimePoint now, const TargetStatus &news)
{
    const auto found = m_entries.find(news.record.key);
    if (found == m_entries.end()) {
        if (m_entries.size() >= MaxDirectoryTargets) {
            return std::nullopt;
        }
        const Entry &entry = m_entries[news.record.key] = {news.record, now - news.age, news.silent};
        m_addresses.emplace(news.record.address, news.record.key);
        return newsOf(entry, now);
    }
    Entry &entry = found->second;
    entry.heard = std::max(entry.heard, now - news.age);
    const bool wasSilent = std::exchange(entry.silent, entry.silent && now - entry.heard >= m_silenceLimit);
    if (!news.record.supersedes(entry.record)) {
        return wasSilent && !entry.silent ? std::optional(newsOf(entry, now)) : std::nullopt;
    }
    const bool changed = news.record.differs(entry.record) || wasSilent;
    setRecord(entry, news.record);
    return changed ? std::optional(newsOf(entry, now)) : std::nullopt;
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

std::optional<TargetStatus> TargetDirectory::leave(TimePoint now, TargetKey key)
{
    const auto found = m_entries.find(key);
    if (found == m_entries.end()) {
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
        if (now - each.second.heard < (left ? RememberLeft : ForgetSilent)) {
            return false;
        }
        unindex(each.second.record);
        return true;
    });
    return fallen;
}

std::vector<TargetKey> TargetDirectory::takeHeardHere()
{
    return std::exchange(m_heardHere, {});
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
    TargetStatus news{entry.record, entry.silent, now - entry.heard};
    news.record.warmupLeft = std::max(Duration{0}, entry.record.warmupLeft - news.age);
    return news;
}

} // namespace Robinrail

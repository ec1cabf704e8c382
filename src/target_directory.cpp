// SPDX-License-Identifier: MIT
// Target directory: implementation.
#include "target_directory.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace Robinrail {

namespace {

// Upper limit of the announcements that are counted to estimate the age of a lifetime: one per second for a day. The
// sequence number comes from the target, and must not cause an overflow of the time.
constexpr std::uint64_t MaxCountedIntervals = 86'400;

} // namespace

TargetDirectory::TargetDirectory(Duration announceInterval, Duration silenceLimit)
    : m_announceInterval(announceInterval)
    , m_silenceLimit(silenceLimit)
{
}

void TargetDirectory::setServices(std::span<const std::string> services)
{
    m_services = {services.begin(), services.end()};
}

bool TargetDirectory::isKnownService(const std::string &service) const
{
    return m_services.contains(service);
}

std::vector<TargetStatus> TargetDirectory::announce(TimePoint now, const TargetRecord &announced)
{
    const Relation relation = relate(now, announced);
    if (relation == Relation::Delayed) {
        return {};
    }
    const auto known = m_entries.find(announced.key);
    if (relation == Relation::Unconfirmed) {
        known->second.lastHeard = now;
        m_announcedHere.push_back(announced.key);
        return {};
    }
    TargetRecord record = announced;
    if (known != m_entries.end() && known->second.record.isOfLifetime(announced.born)) {
        record.born = known->second.record.born + (relation == Relation::Refuting ? 1 : 0);
    }
    if (relation != Relation::Refuting && isAddressOccupied(now, record)) {
        if (isKnownService(record.service) && m_waiting.size() < MaxDirectoryTargets) {
            const TimePoint since = firstHeard(now, record);
            m_waiting[record.key] = {record.born, since, now};
        }
        return {};
    }
    m_announcedHere.push_back(record.key);
    std::vector<TargetStatus> changes;
    if (known == m_entries.end() || known->second.record.isCurrent() || record.born > known->second.record.born) {
        changes = supersedeOlder(now, record);
    }
    if (std::optional<TargetStatus> own = apply(now, {record, false, Duration{0}})) {
        changes.push_back(std::move(*own));
    }
    m_waiting.erase(record.key);
    m_returning.erase(record.key);
    return changes;
}

TargetDirectory::Relation TargetDirectory::relate(TimePoint now, const TargetRecord &announced)
{
    const TargetRecord *known = find(announced.key);
    if (known == nullptr || announced.born > known->born) {
        return Relation::Current;
    }
    if (!known->isOfLifetime(announced.born)) {
        return Relation::Delayed;
    }
    if (known->phase != TargetPhase::Superseded) {
        return Relation::Current;
    }
    return refutes(now, announced) ? Relation::Refuting : Relation::Unconfirmed;
}

// Whether a target of another service announces itself at the address at which this one is new. Balancers would otherwise send
// flows of both services to the address: those of a predecessor that is not known to have ended, or those that a delayed
// announcement of a predecessor attracts after its successor has registered. Targets of unknown services get no flows, so they
// occupy no address.
bool TargetDirectory::isAddressOccupied(TimePoint now, const TargetRecord &record) const
{
    const TargetRecord *known = find(record.key);
    if (known != nullptr && known->address == record.address && known->isOfLifetime(record.born)) {
        return false;
    }
    const auto [first, last] = m_addresses.equal_range(record.address);
    return std::any_of(first, last, [&](const auto &at) {
        const Entry &entry = m_entries.at(at.second);
        const bool running = entry.record.isCurrent() && !isSilent(now, entry);
        return at.second != record.key && running && entry.record.service != record.service && isKnownService(entry.record.service);
    });
}

// An address is reused only after its target has ended, so of two lifetimes at one address the older one is over. The order
// in which their announcements arrive here does not tell which one that is: a delayed announcement may arrive after its
// sender's end and after the first one of its successor. A lifetime therefore supersedes only those that were first heard before
// it, that have been silent for the silence limit, and that were not born after it. One that gives its birth is not superseded
// by one that does not, which is that of another system's writer, as is one whose service the routing document does not name.
//
// None of this proves that the older one is gone: its calls may have failed for longer, and another system may announce a known
// service. So it only gets no new flows, and refutes its end by announcing itself again. Its flows are not reset unless they get no
// answer (target_probe.h). A target that restarts immediately announces itself before its former lifetime is silent; the check
// is therefore made at each announcement and not only at the first.
std::vector<TargetStatus> TargetDirectory::supersedeOlder(TimePoint now, const TargetRecord &record)
{
    std::vector<TargetStatus> superseded;
    if (!isKnownService(record.service)) {
        return superseded;
    }
    const TimePoint since = firstHeard(now, record);
    const auto [first, last] = m_addresses.equal_range(record.address);
    for (auto at = first; at != last; ++at) {
        Entry &entry = m_entries.at(at->second);
        const bool bornBefore = !entry.record.givesBirth() || entry.record.born < record.born;
        const bool older = at->second != record.key && bornBefore && entry.firstHeard < since && entry.record.isCurrent();
        if (older && isSilent(now, entry)) {
            entry.record.phase = TargetPhase::Superseded;
            entry.silent = true;
            superseded.push_back(statusOf(entry, now));
        }
    }
    return superseded;
}

// Whether a superseded target has announced itself often enough to get new flows again. A single announcement may be a delayed
// one of a target that is gone. One that drains attracts no flows.
bool TargetDirectory::refutes(TimePoint now, const TargetRecord &announced)
{
    if (find(announced.key)->born - announced.born >= MaxRefutations) {
        return false; // It has refuted too often.
    }
    if (announced.phase != TargetPhase::Serving) {
        return true;
    }
    ReturningTarget &returning = m_returning[announced.key];
    if (returning.announcements == 0 || now - returning.lastHeard >= m_silenceLimit) {
        returning = {announced.sequence, 1, now, now};
    } else if (announced.sequence > returning.sequence) {
        returning = {announced.sequence, returning.announcements + 1, returning.firstHeard, now};
    }
    return returning.announcements >= AnnouncementsToRefute && now - returning.firstHeard >= m_silenceLimit;
}

bool TargetDirectory::isSupersededAndSilent(TimePoint now, const TargetLifetime &lifetime) const
{
    const auto found = m_entries.find(lifetime.key);
    const bool superseded = found != m_entries.end() && found->second.record.born == lifetime.born && found->second.record.phase == TargetPhase::Superseded;
    return superseded && isSilent(now, found->second);
}

bool TargetDirectory::lacksBirth(const TargetRecord &announced) const
{
    const TargetRecord *known = find(announced.key);
    const bool registeredWithout = known != nullptr && !known->givesBirth();
    return m_birthRequired && !announced.givesBirth() && !registeredWithout;
}

void TargetDirectory::countBirths(TimePoint now)
{
    std::size_t running = 0;
    std::size_t withBirth = 0;
    for (const auto &[key, entry] : m_entries) {
        if (entry.record.isCurrent() && !isSilent(now, entry) && isKnownService(entry.record.service)) {
            ++running;
            withBirth += entry.record.givesBirth() ? 1 : 0;
        }
    }
    m_birthRequired = withBirth >= MinTargetsWithBirth && static_cast<double>(withBirth) >= BirthShare * static_cast<double>(running);
}

bool TargetDirectory::isSilent(TimePoint now, const Entry &entry) const
{
    return now - entry.lastHeard >= m_silenceLimit;
}

void TargetDirectory::discountPause(TimePoint now, Duration pause)
{
    for (auto &[key, entry] : m_entries) {
        if (entry.record.phase != TargetPhase::Left) {
            entry.lastHeard = std::min(now, entry.lastHeard + pause);
        }
    }
}

bool TargetDirectory::isOverdue(TimePoint now, TargetKey key) const
{
    const auto found = m_entries.find(key);
    return found != m_entries.end() && now - found->second.lastHeard >= m_silenceLimit / 2;
}

// When a lifetime was first heard. For a lifetime that is new here this is estimated from its sequence number, at one
// announcement per interval. The estimate is an upper limit of its age, because failed calls count as well: an unknown
// lifetime is rather taken for the older one.
TimePoint TargetDirectory::firstHeard(TimePoint now, const TargetRecord &record) const
{
    const auto found = m_entries.find(record.key);
    if (found != m_entries.end() && (record.born <= found->second.record.born || record.isOfLifetime(found->second.record.born))) {
        return found->second.firstHeard;
    }
    // A target that waits for its address may repeat its announcements more often than once per interval.
    if (const auto waiting = m_waiting.find(record.key); waiting != m_waiting.end() && waiting->second.born == record.born) {
        return waiting->second.firstHeard;
    }
    const std::uint64_t before = record.sequence > 0 ? record.sequence - 1 : 0;
    return now - m_announceInterval * static_cast<std::int64_t>(std::min(before, MaxCountedIntervals));
}

std::optional<TargetStatus> TargetDirectory::apply(TimePoint now, const TargetStatus &status)
{
    const auto found = m_entries.find(status.record.key);
    if (found == m_entries.end()) {
        if (m_entries.size() >= MaxDirectoryTargets) {
            return std::nullopt;
        }
        const TimePoint since = std::min(firstHeard(now - status.age, status.record), now - status.known);
        const Entry &entry = m_entries[status.record.key] = {status.record, now - status.age, since, status.silent};
        m_addresses.emplace(status.record.address, status.record.key);
        return statusOf(entry, now);
    }
    Entry &entry = found->second;
    if (status.record.born != entry.record.born) {
        return status.record.supersedes(entry.record) ? std::optional(beginLifetime(now, entry, status)) : std::nullopt;
    }
    const bool warmsUpAgain = restartsWarmup(status, entry, now);
    entry.lastHeard = std::max(entry.lastHeard, now - status.age);
    entry.firstHeard = std::min(entry.firstHeard, now - status.known);
    const bool wasSilent = std::exchange(entry.silent, entry.silent && isSilent(now, entry));
    if (!status.record.supersedes(entry.record)) {
        return wasSilent && !entry.silent ? std::optional(statusOf(entry, now)) : std::nullopt;
    }
    const bool changed = status.record.differs(entry.record) || wasSilent || warmsUpAgain;
    setRecord(entry, status.record);
    return changed ? std::optional(statusOf(entry, now)) : std::nullopt;
}

// The target restarted under the same key. No state of its former lifetime applies to the new one.
TargetStatus TargetDirectory::beginLifetime(TimePoint now, Entry &entry, const TargetStatus &status)
{
    entry.firstHeard = std::min(firstHeard(now - status.age, status.record), now - status.known);
    entry.lastHeard = now - status.age;
    entry.silent = status.silent;
    setRecord(entry, status.record);
    return statusOf(entry, now);
}

// Whether a target has started another warm-up without a restart, for example after an idle period. Balancers count down the
// time that they were given, so they must be informed.
bool TargetDirectory::restartsWarmup(const TargetStatus &status, const Entry &entry, TimePoint now)
{
    const TimePoint warm = now - status.age + status.record.warmupLeft;
    const TimePoint known = entry.lastHeard + entry.record.warmupLeft;
    return status.record.warmupLeft > Duration{0} && warm - known >= WarmupSlack;
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
    if (found == m_entries.end() || (born != 0 && born < found->second.record.born && !found->second.record.isOfLifetime(born))) {
        return std::nullopt;
    }
    found->second.record.phase = TargetPhase::Left;
    found->second.lastHeard = now;
    return statusOf(found->second, now);
}

std::vector<TargetStatus> TargetDirectory::renew(TimePoint now, std::span<const TargetKey> keys)
{
    std::vector<TargetStatus> returned;
    for (const TargetKey key : keys) {
        const auto found = m_entries.find(key);
        if (found == m_entries.end()) {
            continue;
        }
        found->second.lastHeard = now;
        if (std::exchange(found->second.silent, false)) {
            returned.push_back(statusOf(found->second, now));
        }
    }
    return returned;
}

void TargetDirectory::leaseExpired(TimePoint now, const ExpiredLease &lease)
{
    const auto found = m_entries.find(lease.key);
    if (found != m_entries.end() && found->second.record.phase != TargetPhase::Left) {
        found->second.lastHeard = std::min(found->second.lastHeard, now - lease.age);
    }
}

std::vector<TargetStatus> TargetDirectory::tick(TimePoint now)
{
    std::vector<TargetStatus> silent;
    for (auto &[key, entry] : m_entries) {
        if (entry.record.isCurrent() && !entry.silent && isSilent(now, entry)) {
            entry.silent = true;
            silent.push_back(statusOf(entry, now));
        }
    }
    std::erase_if(m_entries, [this, now](const auto &each) {
        const Duration retention = each.second.record.isCurrent() ? SilentTargetRetention : LeftTargetRetention;
        if (now - each.second.lastHeard < retention) {
            return false;
        }
        unindex(each.second.record);
        m_forgotten.push_back(each.first);
        return true;
    });
    const auto expired = [this, now](const auto &each) {
        return now - each.second.lastHeard >= m_silenceLimit;
    };
    std::erase_if(m_waiting, expired);
    std::erase_if(m_returning, expired);
    countBirths(now);
    return silent;
}

std::vector<TargetKey> TargetDirectory::takeAnnouncedHere()
{
    return std::exchange(m_announcedHere, {});
}

std::vector<TargetKey> TargetDirectory::takeForgotten()
{
    return std::exchange(m_forgotten, {});
}

// The hashes are summed, so that the result does not depend on the order of the targets.
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
    return found != m_entries.end() ? std::optional(statusOf(found->second, now)) : std::nullopt;
}

std::vector<TargetStatus> TargetDirectory::all(TimePoint now) const
{
    std::vector<TargetStatus> list;
    list.reserve(m_entries.size());
    for (const auto &[key, entry] : m_entries) {
        list.push_back(statusOf(entry, now));
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

TargetStatus TargetDirectory::statusOf(const Entry &entry, TimePoint now) const
{
    TargetStatus status{entry.record, entry.silent, now - entry.lastHeard, now - entry.firstHeard};
    status.record.warmupLeft = std::max(Duration{0}, entry.record.warmupLeft - status.age);
    return status;
}

} // namespace Robinrail

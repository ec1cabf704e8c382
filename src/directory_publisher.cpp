// SPDX-License-Identifier: MIT
// Directory publisher: implementation.
#include "directory_publisher.h"

#include <algorithm>

namespace Robinrail {

namespace {

// Index of a service in the list of a page; appends the service if it is missing.
std::uint16_t serviceIndex(std::vector<std::string> &services, const std::string &service)
{
    const auto at = std::find(services.begin(), services.end(), service);
    const auto position = static_cast<std::uint16_t>(at - services.begin());
    if (at == services.end()) {
        services.push_back(service);
    }
    return position;
}

DirectoryPageEntry listedOf(const TargetStatus &status, std::uint16_t service)
{
    const TargetRecord &record = status.record;
    DirectoryPageEntry listed;
    listed.key = record.key;
    listed.service = service;
    listed.address = record.address;
    listed.dataCentre = record.dataCentre;
    listed.slots = record.slots;
    listed.phase = record.phase;
    listed.silent = status.silent;
    listed.warmupMs = static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(record.warmupLeft).count());
    listed.sequence = record.sequence;
    listed.born = record.born;
    return listed;
}

} // namespace

DirectoryPublisher::DirectoryPublisher(const TargetDirectory &directory, std::uint64_t life)
    : m_directory(directory)
    , m_log(life)
{
}

void DirectoryPublisher::changed(TargetKey key)
{
    m_log.changed(key);
}

void DirectoryPublisher::forget(std::span<const TargetKey> keys)
{
    for (const TargetKey key : keys) {
        m_log.forget(key);
        m_pages.clear(); // They may contain the target.
    }
}

bool DirectoryPublisher::follow(FollowerId follower, const FollowDirectory &request)
{
    const std::uint64_t number = m_log.resume(request.life, request.after);
    m_followers[follower] = startingAt(number);
    return number == request.after;
}

// A target that was removed before the transfer of the whole directory began is not part of it, so its removal does not
// require another transfer.
DirectoryPublisher::Follower DirectoryPublisher::startingAt(std::uint64_t number) const
{
    return {number, number == 0 ? m_log.newest() : 0, false, false};
}

void DirectoryPublisher::unfollow(FollowerId follower)
{
    m_followers.erase(follower);
}

std::size_t DirectoryPublisher::followers() const
{
    return m_followers.size();
}

bool DirectoryPublisher::hasPending(const Follower &follower, bool informed) const
{
    return follower.number != m_log.newest() || !follower.sentLastPage || (informed && !follower.sentInformed);
}

const DirectoryPublisher::Page &DirectoryPublisher::pageAfter(TimePoint now, bool informed, std::uint64_t number)
{
    std::erase_if(m_pages, [now](const auto &each) {
        return now - each.second.made >= PageLifetime;
    });
    const auto at = m_pages.find(number);
    // An empty page says that there are no further changes; it is not reused once there are.
    const bool usable = at != m_pages.end() && (at->second.upTo != number || m_log.newest() == number);
    if (usable && at->second.informed == informed) {
        return at->second;
    }
    return m_pages[number] = makePage(now, informed, number);
}

DirectoryPublisher::Page DirectoryPublisher::makePage(TimePoint now, bool informed, std::uint64_t number) const
{
    const DirectoryLogSlice slice = m_log.after(number, PageTargets);
    DirectoryPage page;
    page.life = m_log.life();
    page.after = number;
    page.upTo = slice.upTo;
    page.last = slice.upTo == m_log.newest();
    page.informed = informed;
    for (const TargetKey key : slice.keys) {
        if (const std::optional<TargetStatus> status = m_directory.status(now, key)) {
            page.targets.push_back(listedOf(*status, serviceIndex(page.services, status->record.service)));
        }
    }
    return {now, page.upTo, page.last, informed, encodeMessage(NodeMessage(std::move(page)))};
}

} // namespace Robinrail

// SPDX-License-Identifier: MIT
// Heard targets: implementation.
#include "heard_targets.h"

#include <algorithm>
#include <utility>

namespace Robinrail {

LocalTargetLeases::LocalTargetLeases(Duration lease)
    : m_lease(lease)
{
}

void LocalTargetLeases::heard(TimePoint now, TargetKey key)
{
    m_heard[key].at = now;
}

TargetLeaseUpdate LocalTargetLeases::changes(TimePoint now)
{
    TargetLeaseUpdate beat;
    for (auto at = m_heard.begin(); at != m_heard.end();) {
        auto &[key, heard] = *at;
        const Duration age = now - heard.at;
        if (age >= m_lease) {
            if (heard.told) {
                beat.missed.push_back({key, age});
            }
            at = m_heard.erase(at);
            continue;
        }
        if (!std::exchange(heard.told, true)) {
            beat.heard.push_back(key);
        }
        ++at;
    }
    return beat;
}

TargetLeaseUpdate LocalTargetLeases::whole() const
{
    TargetLeaseUpdate beat;
    for (const auto &[key, heard] : m_heard) {
        if (heard.told) {
            beat.heard.push_back(key);
        }
    }
    return beat;
}

bool LocalTargetLeases::holdsLease(TargetKey key) const
{
    return m_heard.contains(key);
}

std::span<const TargetKey> PeerTargetLeases::take(std::uint64_t link, const TargetLeaseUpdate &beat)
{
    std::vector<TargetKey> &keys = m_links[link];
    for (const ExpiredLease &missed : beat.missed) {
        const auto at = std::lower_bound(keys.begin(), keys.end(), missed.key);
        if (at != keys.end() && *at == missed.key) {
            keys.erase(at);
        }
    }
    if (!beat.heard.empty()) {
        keys.insert(keys.end(), beat.heard.begin(), beat.heard.end());
        std::sort(keys.begin(), keys.end());
        keys.erase(std::unique(keys.begin(), keys.end()), keys.end());
    }
    return keys;
}

void PeerTargetLeases::closed(std::uint64_t link)
{
    m_links.erase(link);
}

bool PeerTargetLeases::holdsLease(TargetKey key) const
{
    return std::any_of(m_links.begin(), m_links.end(), [key](const auto &each) {
        return std::binary_search(each.second.begin(), each.second.end(), key);
    });
}

} // namespace Robinrail

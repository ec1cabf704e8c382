// SPDX-License-Identifier: MIT
// Target leases: implementation.
#include "target_leases.h"

#include <algorithm>
#include <utility>

namespace Robinrail {

LocalTargetLeases::LocalTargetLeases(Duration duration)
    : m_duration(duration)
{
}

void LocalTargetLeases::renew(TimePoint now, TargetKey key)
{
    m_leases[key].renewedAt = now;
}

void LocalTargetLeases::discountPause(TimePoint now, Duration pause)
{
    for (auto &[key, lease] : m_leases) {
        lease.renewedAt = std::min(now, lease.renewedAt + pause);
    }
}

TargetLeaseUpdate LocalTargetLeases::takeChanges(TimePoint now)
{
    TargetLeaseUpdate update;
    for (auto at = m_leases.begin(); at != m_leases.end();) {
        auto &[key, lease] = *at;
        const Duration age = now - lease.renewedAt;
        if (age >= m_duration) {
            if (lease.sent) {
                update.expired.push_back({key, age});
            }
            at = m_leases.erase(at);
            continue;
        }
        if (!std::exchange(lease.sent, true)) {
            update.added.push_back(key);
        }
        ++at;
    }
    return update;
}

TargetLeaseUpdate LocalTargetLeases::snapshot() const
{
    TargetLeaseUpdate update;
    for (const auto &[key, lease] : m_leases) {
        if (lease.sent) {
            update.added.push_back(key);
        }
    }
    return update;
}

bool LocalTargetLeases::holdsLease(TargetKey key) const
{
    return m_leases.contains(key);
}

std::span<const TargetKey> PeerTargetLeases::apply(std::uint64_t link, const TargetLeaseUpdate &update)
{
    std::vector<TargetKey> &keys = m_links[link];
    for (const ExpiredLease &lease : update.expired) {
        const auto at = std::lower_bound(keys.begin(), keys.end(), lease.key);
        if (at != keys.end() && *at == lease.key) {
            keys.erase(at);
        }
    }
    if (!update.added.empty()) {
        keys.insert(keys.end(), update.added.begin(), update.added.end());
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

// SPDX-License-Identifier: MIT
// Directory reconciler: implementation.
#include "directory_reconciler.h"

#include <algorithm>

namespace Robinrail {

DirectoryReconciler::DirectoryReconciler(const TargetDirectory &directory)
    : m_directory(directory)
{
}

// Two replicas may have two links, one dialled by each. The later one may have been established after a loss, so it is used.
void DirectoryReconciler::linked(ReplicaId peer, ReplicaLinkId link)
{
    std::erase_if(m_waiting, [peer](const Peer &each) {
        return each.replica == peer;
    });
    m_waiting.push_back({peer, link});
}

void DirectoryReconciler::closed(ReplicaLinkId link)
{
    std::erase_if(m_waiting, [link](const Peer &each) {
        return each.link == link;
    });
    if (isCurrent(link)) {
        m_current.reset();
    }
}

std::optional<DirectoryReconciler::Comparison> DirectoryReconciler::nextComparison(TimePoint now)
{
    if (m_current && now - m_lastProgress >= ReconcileTimeout) {
        m_waiting.push_back(*m_current);
        m_current.reset();
    }
    if (m_current || m_waiting.empty()) {
        return std::nullopt;
    }
    m_current = m_waiting.front();
    m_waiting.pop_front();
    m_lastProgress = now;
    m_buckets = digestBuckets(m_directory.size());
    return Comparison{m_current->link, {static_cast<std::uint32_t>(m_buckets), digestHash(m_directory.digest(m_buckets))}};
}

std::optional<DirectoryQuery> DirectoryReconciler::onDigest(TimePoint now, ReplicaLinkId link, const DirectoryDigest &digest)
{
    if (!isCurrent(link)) {
        return std::nullopt;
    }
    DirectoryQuery query{static_cast<std::uint32_t>(m_buckets), {}};
    if (digest.buckets.size() == m_buckets) {
        query.wanted = differingBuckets(m_directory.digest(m_buckets), digest.buckets);
    }
    if (query.wanted.empty()) {
        m_informed = m_informed || digest.informed;
        m_current.reset();
        return std::nullopt;
    }
    m_lastProgress = now;
    return query;
}

void DirectoryReconciler::onProgress(TimePoint now, ReplicaLinkId link)
{
    if (isCurrent(link)) {
        m_lastProgress = now;
    }
}

void DirectoryReconciler::onQueryDone(ReplicaLinkId link, const DirectoryQueryDone &done)
{
    if (isCurrent(link)) {
        m_informed = m_informed || done.informed;
        m_current.reset();
    }
}

bool DirectoryReconciler::isCurrent(ReplicaLinkId link) const
{
    return m_current && m_current->link == link;
}

bool DirectoryReconciler::informed() const
{
    return m_informed;
}

} // namespace Robinrail

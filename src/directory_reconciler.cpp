// SPDX-License-Identifier: MIT
// Directory reconciler: implementation.
#include "directory_reconciler.h"

#include <algorithm>

namespace Robinrail {

DirectoryReconciler::DirectoryReconciler(const TargetDirectory &directory)
    : m_directory(directory)
{
}

// Two replicas may have two links, one dialled by each; the later one may have come up after a loss, so it is asked.
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
    if (isAsked(link)) {
        m_asked.reset();
    }
}

std::optional<DirectoryReconciler::Question> DirectoryReconciler::ask(TimePoint now)
{
    if (m_asked && now - m_progressAt >= ReconcileTimeout) {
        m_waiting.push_back(*m_asked);
        m_asked.reset();
    }
    if (m_asked || m_waiting.empty()) {
        return std::nullopt;
    }
    m_asked = m_waiting.front();
    m_waiting.pop_front();
    m_progressAt = now;
    m_buckets = digestBuckets(m_directory.size());
    return Question{m_asked->link, {static_cast<std::uint32_t>(m_buckets), digestHash(m_directory.digest(m_buckets))}};
}

std::optional<DirectoryQuery> DirectoryReconciler::digest(TimePoint now, ReplicaLinkId link, const DirectoryDigest &digest)
{
    if (!isAsked(link)) {
        return std::nullopt;
    }
    DirectoryQuery query{static_cast<std::uint32_t>(m_buckets), {}};
    if (digest.buckets.size() == m_buckets) {
        query.wanted = differingBuckets(m_directory.digest(m_buckets), digest.buckets);
    }
    if (query.wanted.empty()) {
        m_informed = m_informed || digest.informed;
        m_asked.reset();
        return std::nullopt;
    }
    m_progressAt = now;
    return query;
}

void DirectoryReconciler::progressed(TimePoint now, ReplicaLinkId link)
{
    if (isAsked(link)) {
        m_progressAt = now;
    }
}

void DirectoryReconciler::answered(ReplicaLinkId link, const DirectoryQueryDone &answer)
{
    if (isAsked(link)) {
        m_informed = m_informed || answer.informed;
        m_asked.reset();
    }
}

bool DirectoryReconciler::isAsked(ReplicaLinkId link) const
{
    return m_asked && m_asked->link == link;
}

bool DirectoryReconciler::informed() const
{
    return m_informed;
}

} // namespace Robinrail

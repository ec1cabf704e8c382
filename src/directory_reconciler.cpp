// SPDX-License-Identifier: MIT
// Directory reconciler: implementation.
#include "directory_reconciler.h"

#include <algorithm>
#include <utility>

namespace Robinrail {

DirectoryReconciler::DirectoryReconciler(const TargetDirectory &directory)
    : m_directory(directory)
{
}

void DirectoryReconciler::digest(ReplicaId peer, ReplicaLinkId link, DirectoryDigest digest)
{
    std::erase_if(m_waiting, [peer](const Waiting &each) {
        return each.peer == peer;
    });
    Waiting waiting{peer, link, std::move(digest)};
    // Those that know all targets come first: balancers are served once one of them has answered.
    if (waiting.digest.informed) {
        const auto firstUninformed = std::find_if(m_waiting.begin(), m_waiting.end(), [](const Waiting &each) {
            return !each.digest.informed;
        });
        m_waiting.insert(firstUninformed, std::move(waiting));
    } else {
        m_waiting.push_back(std::move(waiting));
    }
}

void DirectoryReconciler::progressed(TimePoint now, ReplicaLinkId link)
{
    if (m_asked && m_asked->link == link) {
        m_progressAt = now;
    }
}

void DirectoryReconciler::answered(ReplicaLinkId link, const DirectoryAnswered &answer)
{
    if (m_asked && m_asked->link == link) {
        m_informed = m_informed || answer.informed;
        m_asked.reset();
    }
}

void DirectoryReconciler::closed(ReplicaLinkId link)
{
    std::erase_if(m_waiting, [link](const Waiting &each) {
        return each.link == link;
    });
    if (m_asked && m_asked->link == link) {
        m_asked.reset();
    }
}

std::optional<DirectoryReconciler::Question> DirectoryReconciler::ask(TimePoint now)
{
    if (m_asked && now - m_progressAt >= ReconcileTimeout) {
        m_waiting.push_back(std::move(*m_asked));
        m_asked.reset();
    }
    while (!m_asked && !m_waiting.empty()) {
        Waiting next = std::move(m_waiting.front());
        m_waiting.pop_front();
        const std::vector<std::uint32_t> &theirs = next.digest.buckets;
        DirectoryQuery query{static_cast<std::uint32_t>(theirs.size()), differingBuckets(m_directory.digest(theirs.size()), theirs)};
        if (query.wanted.empty()) {
            m_informed = m_informed || next.digest.informed;
            continue;
        }
        const ReplicaLinkId link = next.link;
        m_asked = std::move(next);
        m_progressAt = now;
        return Question{link, std::move(query)};
    }
    return std::nullopt;
}

bool DirectoryReconciler::informed() const
{
    return m_informed;
}

} // namespace Robinrail

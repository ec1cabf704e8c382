// SPDX-License-Identifier: MIT
// Directory responder: sends other replicas the buckets of the directory that they query, in chunks that leave room on the
// link and time for other work. DirectoryReconciler is the querying side.
#pragma once

#include "directory_publisher.h"

#include <map>
#include <vector>

namespace Robinrail {

// Maximum number of targets sent per tick to all querying replicas together: 2 ms of CPU time.
inline constexpr std::size_t MaxAnswersPerTick = 1024;

class DirectoryResponder
{
public:
    // Answers from `directory`, which must outlive this.
    explicit DirectoryResponder(const TargetDirectory &directory)
        : m_directory(directory)
    {
    }

    // Starts answering a query; a second query on the same link replaces the first one.
    void begin(FollowerId link, const DirectoryQuery &query)
    {
        m_pending[link] = m_directory.keysIn(query);
    }

    void closed(FollowerId link)
    {
        m_pending.erase(link);
    }

    // Sends pending chunks. `informed`: all targets have had time to become known here.
    template<PageLinks Links>
    void sendDue(TimePoint now, bool informed, Links &links)
    {
        std::size_t left = MaxAnswersPerTick;
        for (auto at = m_pending.begin(); at != m_pending.end();) {
            auto &[link, keys] = *at;
            while (!keys.empty() && left > 0 && links.buffered(link) < MaxFollowerBacklog) {
                left -= std::min(left, sendChunk(now, link, keys, links));
            }
            if (!keys.empty()) {
                ++at;
                continue;
            }
            links.sendEncoded(link, encodeMessage(NodeMessage(DirectoryQueryDone{informed})));
            at = m_pending.erase(at);
        }
    }

private:
    template<PageLinks Links>
    std::size_t sendChunk(TimePoint now, FollowerId link, std::vector<TargetKey> &keys, Links &links)
    {
        const std::size_t count = std::min(keys.size(), PageTargets);
        TargetStatusList chunk;
        for (std::size_t i = 0; i < count; ++i) {
            if (std::optional<TargetStatus> status = m_directory.status(now, keys.back())) {
                chunk.statuses.push_back(std::move(*status));
            }
            keys.pop_back();
        }
        links.sendEncoded(link, encodeMessage(NodeMessage(std::move(chunk))));
        return count;
    }

    const TargetDirectory &m_directory;
    std::map<FollowerId, std::vector<TargetKey>> m_pending; // Targets still to be sent, by link.
};

} // namespace Robinrail

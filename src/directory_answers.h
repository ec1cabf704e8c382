// SPDX-License-Identifier: MIT
// Directory answers: sends other replicas the parts of the directory that they ask for, in pieces that leave room on the
// link and time for other work. DirectoryReconciler is the other side.
#pragma once

#include "directory_publisher.h"

#include <map>
#include <vector>

namespace Robinrail {

// Targets that are sent to all askers together in one turn: 2 ms of a processor.
inline constexpr std::size_t MaxAnswersPerTurn = 1024;

class DirectoryAnswers
{
public:
    // Answers from `directory`, which must outlive it.
    explicit DirectoryAnswers(const TargetDirectory &directory)
        : m_directory(directory)
    {
    }

    // A replica asks; a second question on the same link takes the place of the first one.
    void begin(FollowerId link, const DirectoryQuery &query)
    {
        m_open[link] = m_directory.keysIn(query);
    }

    void closed(FollowerId link)
    {
        m_open.erase(link);
    }

    // Sends what is due. `informed`: all targets have had time to become known here.
    template<PageLinks Links>
    void turn(TimePoint now, bool informed, Links &links)
    {
        std::size_t left = MaxAnswersPerTurn;
        for (auto at = m_open.begin(); at != m_open.end();) {
            auto &[link, keys] = *at;
            while (!keys.empty() && left > 0 && links.buffered(link) < MaxBuffered) {
                left -= std::min(left, sendPiece(now, link, keys, links));
            }
            if (!keys.empty()) {
                ++at;
                continue;
            }
            links.sendEncoded(link, encodeMessage(NodeMessage(DirectoryAnswered{informed})));
            at = m_open.erase(at);
        }
    }

private:
    template<PageLinks Links>
    std::size_t sendPiece(TimePoint now, FollowerId link, std::vector<TargetKey> &keys, Links &links)
    {
        const std::size_t count = std::min(keys.size(), PageTargets);
        TargetStatusList piece;
        for (std::size_t i = 0; i < count; ++i) {
            if (std::optional<TargetStatus> status = m_directory.status(now, keys.back())) {
                piece.statuses.push_back(std::move(*status));
            }
            keys.pop_back();
        }
        links.sendEncoded(link, encodeMessage(NodeMessage(std::move(piece))));
        return count;
    }

    const TargetDirectory &m_directory;
    std::map<FollowerId, std::vector<TargetKey>> m_open; // What is still to be sent, by link.
};

} // namespace Robinrail

// SPDX-License-Identifier: MIT
// Directory publisher: sends the changes of a replica's target directory to the balancers that follow it.
//
// If every replica sent every change to every balancer in a message of its own, traffic would grow with the square of the
// deployment, most of it between data centres. Full lists from several replicas at once would occupy a slow link for longer
// than the time after which a silent link counts as lost. Here a balancer follows one replica, changes are sent in batches,
// and the full list is sent in pages that leave room for pings.
#pragma once

#include "directory_log.h"
#include "node_message.h"
#include "target_directory.h"

#include <algorithm>
#include <concepts>
#include <map>

namespace Robinrail {

// A following balancer, identified by its link.
using FollowerId = std::uint64_t;

// Maximum number of targets in a page: 16 ms on a link of 2 Mbit/s, which bounds the delay of a ping.
inline constexpr std::size_t PageTargets = 128;

// Bytes: pages are sent to a follower while less than this is queued on its link. 65 ms on a link of 2 Mbit/s.
inline constexpr std::size_t MaxFollowerBacklog = std::size_t{16} << 10U;

// How long an encoded page is cached for other followers: after a power loss hundreds of them ask at once, and a page takes
// longer to encode than to send. Later changes follow under higher numbers.
inline constexpr Duration PageLifetime = std::chrono::milliseconds(100);

// Links for pages, which report how many bytes are queued on them.
template<typename L>
concept PageLinks = requires(L &links, FollowerId follower, const Bytes &message)
{
    {
        links.buffered(follower)
        } -> std::convertible_to<std::size_t>;
    links.sendEncoded(follower, message);
};

class DirectoryPublisher
{
public:
    // Publishes `directory`, which must outlive this. `life` identifies the run, as in DirectoryLog.
    DirectoryPublisher(const TargetDirectory &directory, std::uint64_t life);

    // A target changed; targets were removed from the directory.
    void changed(TargetKey key);
    void forget(std::span<const TargetKey> keys);

    // Adds a follower; a second request on the same link restarts it. Returns whether it continues where it was; otherwise
    // it receives the whole directory.
    bool follow(FollowerId follower, const FollowDirectory &request);
    void unfollow(FollowerId follower);

    // Sends pending pages to one follower, or to all. A follower that has not received a change to a target that was since
    // removed receives the whole directory again. `informed`: all targets have had time to become known here.
    template<PageLinks Links>
    void publishTo(TimePoint now, bool informed, FollowerId follower, Links &links)
    {
        if (const auto at = m_followers.find(follower); at != m_followers.end()) {
            sendPages(now, informed, at->first, at->second, links);
        }
    }

    template<PageLinks Links>
    void publish(TimePoint now, bool informed, Links &links)
    {
        for (auto &[id, follower] : m_followers) {
            sendPages(now, informed, id, follower, links);
        }
    }

    std::size_t followers() const;

private:
    struct Follower {
        std::uint64_t number = 0; // All changes up to this one were sent.
        std::uint64_t snapshotStart = 0; // Number of the last change when the transfer of the whole directory began; 0 when complete.
        bool sentLastPage = false; // A page marked as the last one was sent.
        bool sentInformed = false; // Such a page was sent while this replica was informed.
    };
    struct Page {
        TimePoint made;
        std::uint64_t upTo = 0;
        bool last = false;
        bool informed = false;
        Bytes bytes; // Encoded.
    };

    template<PageLinks Links>
    void sendPages(TimePoint now, bool informed, FollowerId id, Follower &follower, Links &links)
    {
        if (!m_log.isCompleteAfter(std::max(follower.number, follower.snapshotStart))) {
            follower = startingAt(0);
        }
        while (hasPending(follower, informed) && links.buffered(id) < MaxFollowerBacklog) {
            const Page &page = pageAfter(now, informed, follower.number);
            links.sendEncoded(id, page.bytes);
            follower.number = page.upTo;
            follower.snapshotStart = page.last ? 0 : follower.snapshotStart;
            follower.sentLastPage = follower.sentLastPage || page.last;
            follower.sentInformed = follower.sentInformed || (page.last && page.informed);
        }
    }

    Follower startingAt(std::uint64_t number) const;
    bool hasPending(const Follower &follower, bool informed) const;
    const Page &pageAfter(TimePoint now, bool informed, std::uint64_t number);
    Page makePage(TimePoint now, bool informed, std::uint64_t number) const;

    const TargetDirectory &m_directory;
    DirectoryLog m_log;
    std::map<FollowerId, Follower> m_followers;
    std::map<std::uint64_t, Page> m_pages; // By the number after which they begin.
};

} // namespace Robinrail

// SPDX-License-Identifier: MIT
// Directory publisher: a replica tells balancers that follow it what changes in its directory of targets.
//
// The pattern that it answers: each change of a target told to each balancer by each replica, one message a change, grows
// with the square of the deployment, most of it between data centres. Whole lists from several replicas at once keep a slow
// link busy for longer than it may be silent. Here a balancer follows one replica, changes go out in batches, and a list
// comes in pages that leave room for pings.
#pragma once

#include "directory_log.h"
#include "node_message.h"
#include "target_directory.h"

#include <algorithm>
#include <concepts>
#include <map>

namespace Robinrail {

// A balancer that follows, by the link that it asked on.
using FollowerId = std::uint64_t;

// Targets of one page at most: 16 ms on a link of 2 Mbit/s, so that a ping waits for no longer.
inline constexpr std::size_t PageTargets = 128;

// Pages are sent to a follower while less than this waits to be written to it, bytes: 65 ms on a link of 2 Mbit/s.
inline constexpr std::size_t MaxFollowerBacklog = std::size_t{16} << 10U;

// A page that was made for one follower is good for others for so long: after a loss of power hundreds ask at once, and
// a page takes longer to encode than to send. What changed meanwhile follows under higher numbers.
inline constexpr Duration PageLifetime = std::chrono::milliseconds(100);

// Where pages go: links that tell how much waits on them.
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
    // Publishes `directory`, which must outlive it, under numbers of this life.
    DirectoryPublisher(const TargetDirectory &directory, std::uint64_t life);

    // Followers must hear of this target; the directory no longer holds these.
    void changed(TargetKey key);
    void forget(std::span<const TargetKey> keys);

    // A balancer follows from now on; a second request on the same link begins anew. Whether it goes on where it was;
    // otherwise it gets the whole directory.
    bool follow(FollowerId follower, const FollowDirectory &request);
    void unfollow(FollowerId follower);

    // Sends what is due to one follower, or to all. A follower that lags behind a target that was forgotten gets the whole
    // once more. `informed`: all targets have had time to become known here.
    template<PageLinks Links>
    void publishTo(TimePoint now, bool informed, FollowerId follower, Links &links)
    {
        if (const auto at = m_followers.find(follower); at != m_followers.end()) {
            serve(now, informed, at->first, at->second, links);
        }
    }

    template<PageLinks Links>
    void publish(TimePoint now, bool informed, Links &links)
    {
        for (auto &[id, follower] : m_followers) {
            serve(now, informed, id, follower, links);
        }
    }

    std::size_t followers() const;

private:
    struct Follower {
        std::uint64_t number = 0; // It was sent all changes up to this one.
        std::uint64_t snapshotStart = 0; // The newest number when it began to get the whole; 0 once it has it.
        bool sentLastPage = false; // It was told that it has them all, at some moment.
        bool sentInformed = false; // The same by an informed replica.
    };
    struct Page {
        TimePoint made;
        std::uint64_t upTo = 0;
        bool last = false;
        bool informed = false;
        Bytes bytes; // Encoded.
    };

    template<PageLinks Links>
    void serve(TimePoint now, bool informed, FollowerId id, Follower &follower, Links &links)
    {
        if (!m_log.isCompleteAfter(std::max(follower.number, follower.snapshotStart))) {
            follower = begun(0);
        }
        while (owes(follower, informed) && links.buffered(id) < MaxFollowerBacklog) {
            const Page &page = pageAfter(now, informed, follower.number);
            links.sendEncoded(id, page.bytes);
            follower.number = page.upTo;
            follower.snapshotStart = page.last ? 0 : follower.snapshotStart;
            follower.sentLastPage = follower.sentLastPage || page.last;
            follower.sentInformed = follower.sentInformed || (page.last && page.informed);
        }
    }

    Follower begun(std::uint64_t number) const;
    bool owes(const Follower &follower, bool informed) const;
    const Page &pageAfter(TimePoint now, bool informed, std::uint64_t number);
    Page makePage(TimePoint now, bool informed, std::uint64_t number) const;

    const TargetDirectory &m_directory;
    DirectoryLog m_log;
    std::map<FollowerId, Follower> m_followers;
    std::map<std::uint64_t, Page> m_pages; // By the number that they follow.
};

} // namespace Robinrail

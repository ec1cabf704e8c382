// SPDX-License-Identifier: MIT
// Node links: message links between nodes that find each other by address. A broken or silent link is
// dialled again; the network is trusted, so nothing is authenticated.
#pragma once

#include "dial_schedule.h"
#include "link_silence.h"
#include "link_traffic.h"
#include "log_budget.h"
#include "metrics.h"
#include "node_message.h"
#include "websocket_hub.h"

#include <functional>
#include <map>
#include <optional>
#include <set>

namespace Robinrail {

// Most links that are open at once; one more is closed, and its dialler tries again. 1,258 balancers that find no quorum
// may all dial the same replica.
inline constexpr std::size_t MaxNodeLinks = 1280;

struct NodeLinkCallbacks {
    std::function<void(ReplicaId)> answered; // A dialled replica's machine took the connection.
    std::function<void(LinkHandle, const NodeHello &peer)> established;
    std::function<void(LinkHandle, const NodeHello &peer, const NodeMessage &)> received;
    std::function<void(LinkHandle, const NodeHello &peer)> closed; // Only for links that were established.
};

class NodeLinks
{
public:
    NodeLinks(boost::asio::io_context &io, NodeHello self, NodeLinkCallbacks callbacks);

    bool listen(Endpoint endpoint);

    // Keeps a link to each of these replicas up, and dials no others any more. They listen on `port`.
    void maintain(const std::set<ReplicaId> &replicas, std::uint16_t port);

    // Call it every 100 ms or so.
    void tick(TimePoint now);

    void send(LinkHandle link, const NodeMessage &message);

    // The same message on several links, encoded once.
    void sendAll(std::span<const LinkHandle> links, const NodeMessage &message);

    // A message that is encoded already.
    void sendEncoded(LinkHandle link, const Bytes &message);

    // Bytes that wait to be written on a link.
    std::size_t buffered(LinkHandle link) const;

    // An established link to a replica, whoever of the two dialled it; 0 without any. A replica with an empty disk knows the
    // seeds alone and has no other way to answer a leader that is none of them.
    //
    // Of several it is the one on which something was heard last, so that a connection that falls silent keeps messages back
    // for LinkPingInterval instead of LinkSilenceLimit, before a leader steps down.
    LinkHandle linkTo(ReplicaId replica) const;

    // Established links that peers of this role dialled.
    std::vector<LinkHandle> acceptedFrom(NodeRole role) const;

    // Whether a link was dialled from here.
    bool isDialled(LinkHandle link) const;

    // Established links that were dialled from here.
    std::vector<LinkHandle> dialled() const;

    // Figures of links and of what passed over them.
    void describe(PrometheusWriter &text) const;

    // Writes a line on what passed over the links, as when the node stops.
    void logTraffic() const;

private:
    struct Link {
        std::optional<NodeHello> peer; // Once it said hello.
        ReplicaId dialledTo{}; // 0: accepted.
        LinkTimes times;

        // The replica at the other end; 0 if that is a balancer, or has not said hello.
        ReplicaId replica() const
        {
            const bool accepted = value(dialledTo) == 0;
            return !peer ? ReplicaId{} : accepted ? peer->replica : dialledTo;
        }
    };
    struct Dial {
        LinkHandle up = 0; // The link, once its connection is open.
        DialSchedule schedule;
    };
    void opened(LinkHandle handle, std::uint64_t tag);
    void greeted(LinkHandle handle, Link &link, const NodeHello &hello);
    void received(LinkHandle handle, const std::vector<std::uint8_t> &bytes);
    void closed(LinkHandle handle, std::uint64_t tag);
    void forget(ReplicaId replica, LinkHandle handle);
    void refuse(LinkHandle handle, std::string_view reason);
    LinkDistance distanceOf(const Link &link) const;
    void drop(LinkHandle handle);
    void dial(ReplicaId replica, Dial &dial);
    void connected(std::uint64_t tag);
    void failed(std::uint64_t tag, bool connected);

    NodeHello m_self;
    NodeLinkCallbacks m_callbacks;
    std::map<LinkHandle, Link> m_links;
    std::map<ReplicaId, std::vector<LinkHandle>> m_replicaLinks; // Established ones, by who is at the other end.
    std::map<ReplicaId, Dial> m_dials;
    std::uint16_t m_port = 0;
    LinkClock m_clock;
    LinkTraffic m_traffic;
    TimePoint m_trafficLogDue;
    std::uint64_t m_refused = 0; // Links closed from here: one too many, or a message that can't be read.
    LogRateLimiter m_refusedLog;
    WebsocketHub m_hub;
};

} // namespace Robinrail

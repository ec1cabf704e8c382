// SPDX-License-Identifier: MIT
// Node links: message links between nodes that are identified by their addresses. Broken and silent links are
// dialled again. The network is trusted, so peers are not authenticated.
#pragma once

#include "dial_schedule.h"
#include "link_activity.h"
#include "link_traffic.h"
#include "log_rate_limiter.h"
#include "metrics.h"
#include "node_message.h"
#include "websocket_hub.h"

#include <functional>
#include <map>
#include <optional>
#include <set>

namespace Robinrail {

// Maximum number of open links; a further one is closed, and its dialler tries again. All of 1,258 balancers may dial the
// same replica if they find no quorum.
inline constexpr std::size_t MaxNodeLinks = 1280;

struct NodeLinkCallbacks {
    std::function<void(ReplicaId)> connected; // The TCP connection to a dialled replica is established; its handshake begins.
    std::function<void(LinkHandle, const NodeHello &peer)> established;
    std::function<void(LinkHandle, const NodeHello &peer, const NodeMessage &)> received;
    std::function<void(LinkHandle, const NodeHello &peer)> closed; // Only for links that were established.
};

class NodeLinks
{
public:
    NodeLinks(boost::asio::io_context &io, NodeHello self, NodeLinkCallbacks callbacks);

    bool listen(Endpoint endpoint);

    // Maintains a link to each of these replicas, which listen on `port`, and closes dialled links to all others.
    void maintain(const std::set<ReplicaId> &replicas, std::uint16_t port);

    // Sends pings, closes silent links, dials and logs traffic. To be called about every 100 ms.
    void tick(TimePoint now);

    void send(LinkHandle link, const NodeMessage &message);

    // Sends the same message on several links; encodes it only once.
    void sendAll(std::span<const LinkHandle> links, const NodeMessage &message);

    // Sends a message that is already encoded.
    void sendEncoded(LinkHandle link, const Bytes &message);

    // Bytes that were sent on a link and not yet written to its socket.
    std::size_t buffered(LinkHandle link) const;

    // Returns an established link to a replica, no matter which end dialled it; 0 if there is none. Accepted links count
    // because a replica with an empty disk knows only the seeds and could not answer a leader that is not a seed otherwise.
    //
    // Prefers the link on which something was received last, so that a connection that stops delivering delays messages for
    // LinkPingInterval instead of LinkTimeout, and another link is in use before a leader steps down.
    LinkHandle linkTo(ReplicaId replica) const;

    // Established links that were dialled by peers of this role, in any or in one data centre.
    std::vector<LinkHandle> acceptedFrom(NodeRole role) const;
    std::vector<LinkHandle> acceptedFrom(NodeRole role, DataCentreId dataCentre) const;

    // Whether this node dialled a link.
    bool isDialled(LinkHandle link) const;

    // Established links that this node dialled.
    std::vector<LinkHandle> dialled() const;

    // Writes the metrics of the links and of their traffic.
    void writeMetrics(PrometheusWriter &text) const;

    // Writes a log line with the traffic of the links so far; tick() does so periodically.
    void logTraffic() const;

private:
    struct Link {
        std::optional<NodeHello> peer; // Set when the hello is received; the link is established from then on.
        ReplicaId dialledTo{}; // 0: accepted.
        LinkActivity activity;
        bool repeatedHello = false; // So the peer is of a release that reads OpeningPins and later kinds.

        // The replica at the other end; 0 if the peer is a balancer or has not sent its hello.
        ReplicaId replica() const
        {
            const bool accepted = value(dialledTo) == 0;
            return !peer ? ReplicaId{} : accepted ? peer->replica : dialledTo;
        }
    };
    struct Dial {
        LinkHandle link = 0; // 0 while no connection is open.
        DialSchedule schedule;
    };
    void opened(LinkHandle handle, std::uint64_t tag);
    void handleHello(LinkHandle handle, Link &link, const NodeHello &hello);
    void received(LinkHandle handle, const std::vector<std::uint8_t> &bytes);
    void closed(LinkHandle handle, std::uint64_t tag);
    void removeReplicaLink(ReplicaId replica, LinkHandle handle);
    void refuse(LinkHandle handle, std::string_view reason);
    static bool canRead(const Link &link, BytesView message);
    LinkDistance distanceOf(const Link &link) const;
    void closeLink(LinkHandle handle);
    void dial(ReplicaId replica, Dial &dial);
    void connected(std::uint64_t tag);
    void failed(std::uint64_t tag, bool connected);

    NodeHello m_self;
    NodeLinkCallbacks m_callbacks;
    std::map<LinkHandle, Link> m_links;
    std::map<ReplicaId, std::vector<LinkHandle>> m_replicaLinks; // Established links, by the replica at the other end.
    std::map<ReplicaId, Dial> m_dials;
    std::uint16_t m_port = 0;
    LinkActivityClock m_clock;
    LinkTraffic m_traffic;
    TimePoint m_trafficLogDue;
    std::uint64_t m_withheld = 0; // Messages not sent, as the peer could not read them.
    std::uint64_t m_refused = 0; // Links closed by this node: above MaxNodeLinks, or after an undecodable message.
    LogRateLimiter m_refusedLog;
    WebsocketHub m_hub;
};

} // namespace Robinrail

// SPDX-License-Identifier: MIT
// Node links: hello, pings and dialling over the websocket hub.
#include "node_links.h"

#include "log.h"
#include "net.h"
#include "settings.h"

#include <algorithm>

namespace Robinrail {

NodeLinks::NodeLinks(boost::asio::io_context &io, NodeHello self, NodeLinkCallbacks callbacks)
    : m_self(self)
    , m_callbacks(std::move(callbacks))
    , m_clock(monotonicNow())
    , m_trafficLogDue(m_clock.now() + TrafficLogInterval)
    , m_hub(io,
            MaxLinkMessageSize,
            {[this](LinkHandle handle, std::uint64_t tag) {
                 opened(handle, tag);
             },
             [this](LinkHandle handle, const std::vector<std::uint8_t> &bytes) {
                 received(handle, bytes);
             },
             [this](LinkHandle handle, std::uint64_t tag) {
                 closed(handle, tag);
             },
             [this](std::uint64_t tag) {
                 connected(tag);
             },
             [this](std::uint64_t tag, bool connected) {
                 failed(tag, connected);
             }})
{
}

bool NodeLinks::listen(Endpoint endpoint)
{
    return m_hub.listen(addressText(endpoint), endpoint.port);
}

void NodeLinks::maintain(const std::set<ReplicaId> &replicas, std::uint16_t port)
{
    m_port = port;
    std::erase_if(m_dials, [&replicas](const auto &dial) {
        return !replicas.contains(dial.first);
    });
    for (const ReplicaId replica : replicas) {
        m_dials.try_emplace(replica);
    }
    std::vector<LinkHandle> unwanted;
    for (const auto &[handle, link] : m_links) {
        if (value(link.dialledTo) != 0 && !replicas.contains(link.dialledTo)) {
            unwanted.push_back(handle);
        }
    }
    for (const LinkHandle handle : unwanted) {
        closeLink(handle);
    }
}

void NodeLinks::tick(TimePoint now)
{
    const bool wasStalled = m_clock.advance(now);
    std::vector<LinkHandle> timedOut;
    for (auto &[handle, link] : m_links) {
        if (wasStalled) {
            link.activity.lastReceived = now;
        }
        if (link.activity.timedOut(now)) {
            timedOut.push_back(handle);
        } else if (link.activity.pingDue(now)) {
            send(handle, NodePing{});
        }
    }
    for (const LinkHandle handle : timedOut) {
        closeLink(handle);
    }
    for (auto &[replica, dial] : m_dials) {
        if (dial.link == 0 && dial.schedule.due(now)) {
            this->dial(replica, dial);
        }
    }
    if (now >= m_trafficLogDue) {
        m_trafficLogDue = now + TrafficLogInterval;
        m_traffic.log();
    }
}

void NodeLinks::dial(ReplicaId replica, Dial &dial)
{
    dial.schedule.attemptStarted(m_clock.now());
    m_hub.connect(addressText({value(replica), m_port}), m_port, value(replica));
}

void NodeLinks::connected(std::uint64_t tag)
{
    if (const auto dial = m_dials.find(ReplicaId{static_cast<std::uint32_t>(tag)}); dial != m_dials.end()) {
        dial->second.schedule.connected(m_clock.now());
        m_callbacks.connected(dial->first);
    }
}

void NodeLinks::failed(std::uint64_t tag, bool connected)
{
    const auto dial = m_dials.find(ReplicaId{static_cast<std::uint32_t>(tag)});
    if (connected && dial != m_dials.end()) {
        dial->second.schedule.handshakeEnded();
    }
}

void NodeLinks::opened(LinkHandle handle, std::uint64_t tag)
{
    const ReplicaId replica{static_cast<std::uint32_t>(tag)};
    const auto dial = m_dials.find(replica);
    if (dial != m_dials.end()) {
        dial->second.schedule.handshakeEnded();
    }
    if (tag != 0 && (dial == m_dials.end() || dial->second.link != 0)) {
        return m_hub.close(handle); // No longer wanted, or a second connection to the same replica.
    }
    if (m_links.size() >= MaxNodeLinks) {
        return refuse(handle, "too-many");
    }
    if (tag != 0) {
        dial->second.link = handle;
    }
    m_links[handle] = {std::nullopt, replica, {m_clock.now(), m_clock.now()}, false};
    send(handle, m_self);
    send(handle, m_self); // See NodeHello.
}

void NodeLinks::received(LinkHandle handle, const std::vector<std::uint8_t> &bytes)
{
    const auto at = m_links.find(handle);
    if (at == m_links.end()) {
        return;
    }
    at->second.activity.lastReceived = m_clock.now();
    m_traffic.count(LinkDirection::Received, distanceOf(at->second), bytes);
    const std::optional<NodeMessage> message = decodeMessage<NodeMessage>(bytes);
    if (!message) {
        return refuse(handle, "unreadable");
    }
    if (const auto *hello = std::get_if<NodeHello>(&*message)) {
        return handleHello(handle, at->second, *hello);
    }
    if (at->second.peer && !std::holds_alternative<NodePing>(*message)) {
        const NodeHello peer = *at->second.peer;
        m_callbacks.received(handle, peer, *message);
    }
}

void NodeLinks::handleHello(LinkHandle handle, Link &link, const NodeHello &hello)
{
    if (link.peer) {
        link.repeatedHello = true;
        return; // The identity of a peer is fixed for the lifetime of the connection.
    }
    link.peer = hello;
    if (const ReplicaId replica = link.replica(); value(replica) != 0) {
        m_replicaLinks[replica].push_back(handle);
    }
    if (const auto dial = m_dials.find(link.dialledTo); dial != m_dials.end()) {
        dial->second.schedule.linkEstablished();
    }
    m_callbacks.established(handle, hello);
}

void NodeLinks::closed(LinkHandle handle, std::uint64_t tag)
{
    const auto at = m_links.find(handle);
    if (at == m_links.end()) {
        return; // closeLink() has removed the link already.
    }
    const auto dial = m_dials.find(ReplicaId{static_cast<std::uint32_t>(tag)});
    if (tag != 0 && dial != m_dials.end() && dial->second.link == handle) {
        dial->second.link = 0;
    }
    const std::optional<NodeHello> peer = at->second.peer;
    removeReplicaLink(at->second.replica(), handle);
    m_links.erase(at);
    if (peer) {
        m_callbacks.closed(handle, *peer);
    }
}

// Removes a link from m_replicaLinks.
void NodeLinks::removeReplicaLink(ReplicaId replica, LinkHandle handle)
{
    const auto at = m_replicaLinks.find(replica);
    if (at == m_replicaLinks.end()) {
        return;
    }
    std::erase(at->second, handle);
    if (at->second.empty()) {
        m_replicaLinks.erase(at);
    }
}

void NodeLinks::refuse(LinkHandle handle, std::string_view reason)
{
    ++m_refused;
    if (const auto leftOut = m_refusedLog.take(monotonicNow())) {
        LogLine(LogLevel::Warning, "link-refused").with("reason", reason).with("links", m_links.size()).with("left-out", *leftOut);
    }
    closeLink(handle);
}

// Removes a link at once and closes its connection, which may take long if the peer is unreachable.
void NodeLinks::closeLink(LinkHandle handle)
{
    if (const auto at = m_links.find(handle); at != m_links.end()) {
        closed(handle, value(at->second.dialledTo));
    }
    m_hub.close(handle);
}

void NodeLinks::send(LinkHandle link, const NodeMessage &message)
{
    if (m_links.contains(link)) {
        sendEncoded(link, encodeMessage(message));
    }
}

void NodeLinks::sendAll(std::span<const LinkHandle> links, const NodeMessage &message)
{
    const Bytes bytes = links.empty() ? Bytes() : encodeMessage(message);
    for (const LinkHandle link : links) {
        sendEncoded(link, bytes);
    }
}

void NodeLinks::sendEncoded(LinkHandle link, const Bytes &message)
{
    if (const auto at = m_links.find(link); at != m_links.end()) {
        if (!canRead(at->second, message)) {
            ++m_withheld;
            return;
        }
        at->second.activity.lastSent = m_clock.now();
        m_hub.send(link, message);
        m_traffic.count(LinkDirection::Sent, distanceOf(at->second), message);
    }
}

// Earlier releases close a link on a message of a kind that they do not know.
bool NodeLinks::canRead(const Link &link, BytesView message)
{
    static const std::size_t FirstNewKind = NodeMessage(OpeningPins{}).index();
    return link.repeatedHello || messageTypeIndex(message) < FirstNewKind;
}

LinkHandle NodeLinks::linkTo(ReplicaId replica) const
{
    const auto at = m_replicaLinks.find(replica);
    if (at == m_replicaLinks.end()) {
        return 0;
    }
    // Receive times have the resolution of tick(). Among links with equal times all messages use the dialled one, which
    // preserves their order.
    const auto rank = [this](LinkHandle handle) {
        const Link &link = m_links.at(handle);
        return std::pair(link.activity.lastReceived, value(link.dialledTo));
    };
    return *std::max_element(at->second.begin(), at->second.end(), [&rank](LinkHandle one, LinkHandle other) {
        return rank(one) < rank(other);
    });
}

std::vector<LinkHandle> NodeLinks::acceptedFrom(NodeRole role) const
{
    std::vector<LinkHandle> handles;
    for (const auto &[handle, link] : m_links) {
        if (value(link.dialledTo) == 0 && link.peer && link.peer->role == role) {
            handles.push_back(handle);
        }
    }
    return handles;
}

std::vector<LinkHandle> NodeLinks::acceptedFrom(NodeRole role, DataCentreId dataCentre) const
{
    std::vector<LinkHandle> handles = acceptedFrom(role);
    std::erase_if(handles, [&](LinkHandle handle) {
        return m_links.at(handle).peer->dataCentre != dataCentre;
    });
    return handles;
}

bool NodeLinks::isDialled(LinkHandle link) const
{
    const auto at = m_links.find(link);
    return at != m_links.end() && value(at->second.dialledTo) != 0;
}

std::vector<LinkHandle> NodeLinks::dialled() const
{
    std::vector<LinkHandle> handles;
    for (const auto &[handle, link] : m_links) {
        if (value(link.dialledTo) != 0 && link.peer) {
            handles.push_back(handle);
        }
    }
    return handles;
}

std::size_t NodeLinks::buffered(LinkHandle link) const
{
    return m_hub.buffered(link);
}

LinkDistance NodeLinks::distanceOf(const Link &link) const
{
    if (!link.peer) {
        return LinkDistance::Unknown;
    }
    return link.peer->dataCentre == m_self.dataCentre ? LinkDistance::SameDataCentre : LinkDistance::OtherDataCentre;
}

void NodeLinks::logTraffic() const
{
    m_traffic.log();
}

void NodeLinks::writeMetrics(PrometheusWriter &text) const
{
    text.gauge("robinrail_links", "Links to other nodes", static_cast<double>(m_links.size()));
    text.counter("robinrail_links_refused_total", "Links closed as one too many, or for a message that can't be read", static_cast<double>(m_refused));
    text.counter("robinrail_link_messages_withheld_total", "Messages not sent to peers of earlier releases", static_cast<double>(m_withheld));
    text.counter("robinrail_link_bytes_sent_total", "Bytes sent on links", static_cast<double>(m_hub.bytesSent()));
    m_traffic.writeMetrics(text);
}

} // namespace Robinrail

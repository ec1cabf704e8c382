// SPDX-License-Identifier: MIT
// Secure links: authenticated sessions over the websocket hub.
#include "secure_links.h"

#include "log.h"
#include "net.h"
#include "settings.h"

namespace Robinrail {

SecureLinks::SecureLinks(boost::asio::io_context &io, const ClusterKey &key, PeerRole role, std::uint16_t id, SecureLinkCallbacks callbacks)
    : m_io(io)
    , m_key(key)
    , m_role(role)
    , m_id(id)
    , m_callbacks(std::move(callbacks))
    , m_clock(monotonicNow())
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
             [](std::uint64_t) {},
             [this](std::uint64_t tag, bool) {
                 redial(tag);
             }})
{
}

bool SecureLinks::listen(Endpoint endpoint)
{
    return m_hub.listen(addressText(endpoint), endpoint.port);
}

void SecureLinks::maintain(Endpoint endpoint)
{
    m_maintained.push_back(endpoint);
    m_timers.push_back(std::make_unique<boost::asio::steady_timer>(m_io));
    m_hub.connect(addressText(endpoint), endpoint.port, m_maintained.size());
}

void SecureLinks::opened(LinkHandle handle, std::uint64_t tag)
{
    if (m_links.size() >= MaxLinks) {
        m_hub.close(handle);
        if (tag != 0) {
            redial(tag);
        }
        return;
    }
    const LinkActivity activity{m_clock.now(), m_clock.now()};
    const auto [at, added] = m_links.emplace(handle, Link{SecureSession(m_key, m_role, m_id, tag != 0), tag, activity});
    m_hub.send(handle, at->second.session.hello());
}

void SecureLinks::received(LinkHandle handle, const std::vector<std::uint8_t> &bytes)
{
    const auto at = m_links.find(handle);
    if (at == m_links.end()) {
        return;
    }
    at->second.activity.lastReceived = m_clock.now();
    SecureSession &session = at->second.session;
    switch (session.receive(bytes)) {
    case SecureSession::Event::SendProof:
        m_hub.send(handle, session.proof());
        break;
    case SecureSession::Event::Established:
        m_callbacks.established(handle, session.peer());
        break;
    case SecureSession::Event::Payload:
        deliver(handle, session);
        break;
    case SecureSession::Event::Failed:
        ++m_rejected;
        m_hub.close(handle);
        break;
    }
}

void SecureLinks::deliver(LinkHandle handle, const SecureSession &session)
{
    const Hello peer = session.peer();
    const std::optional<LinkMessage> message = decodeMessage<LinkMessage>(session.payload());
    if (!message) {
        LogLine(LogLevel::Error, "link-message-unreadable").with("role", static_cast<int>(peer.role)).with("id", peer.id);
    } else if (isTrafficDropped(peer)) {
        return;
    } else if (std::holds_alternative<LinkPing>(*message)) {
        m_links.at(handle).peerPings = true;
    } else {
        m_callbacks.received(handle, peer, *message);
    }
}

void SecureLinks::closed(LinkHandle handle, std::uint64_t tag)
{
    const auto at = m_links.find(handle);
    if (at == m_links.end()) {
        return; // closeLink() has removed the link already, or opened() refused it.
    }
    const Hello peer = at->second.session.peer();
    const bool established = at->second.session.established();
    m_links.erase(at);
    if (established) {
        m_callbacks.closed(handle, peer);
    }
    if (tag != 0) {
        redial(tag);
    }
}

// Removes a link at once and closes its connection, which may take long if the peer is unreachable.
void SecureLinks::closeLink(LinkHandle handle)
{
    closed(handle, m_links.at(handle).tag);
    m_hub.close(handle);
}

void SecureLinks::tick(TimePoint now)
{
    const bool wasStalled = m_clock.advance(now);
    std::vector<LinkHandle> timedOut;
    for (auto &[handle, link] : m_links) {
        if (wasStalled) {
            link.activity.lastReceived = now;
        }
        if (link.activity.timedOut(now) && (link.peerPings || !link.session.established())) {
            timedOut.push_back(handle);
        } else if (link.session.established() && link.activity.pingDue(now)) {
            send(handle, LinkPing{});
        }
    }
    for (const LinkHandle handle : timedOut) {
        closeLink(handle);
    }
}

void SecureLinks::redial(std::uint64_t tag)
{
    boost::asio::steady_timer &timer = *m_timers[tag - 1];
    timer.expires_after(RedialDelay);
    timer.async_wait([this, tag](const boost::system::error_code &error) {
        if (!error) {
            const Endpoint endpoint = m_maintained[tag - 1];
            m_hub.connect(addressText(endpoint), endpoint.port, tag);
        }
    });
}

void SecureLinks::send(LinkHandle link, const LinkMessage &message)
{
    const auto at = m_links.find(link);
    if (at == m_links.end() || !at->second.session.established() || isTrafficDropped(at->second.session.peer())) {
        return;
    }
    at->second.activity.lastSent = m_clock.now();
    m_hub.send(link, at->second.session.seal(encodeMessage(message)));
}

std::vector<LinkHandle> SecureLinks::linksTo(PeerRole role, std::uint16_t id) const
{
    std::vector<LinkHandle> dialled;
    std::vector<LinkHandle> accepted;
    for (const auto &[handle, link] : m_links) {
        const Hello &peer = link.session.peer();
        if (link.session.established() && peer.role == role && peer.id == id) {
            (link.tag != 0 ? dialled : accepted).push_back(handle);
        }
    }
    return dialled.empty() ? accepted : dialled;
}

std::vector<LinkHandle> SecureLinks::links(PeerRole role) const
{
    std::vector<LinkHandle> handles;
    for (const auto &[handle, link] : m_links) {
        if (link.session.established() && link.session.peer().role == role) {
            handles.push_back(handle);
        }
    }
    return handles;
}

void SecureLinks::dropTraffic(PeerRole role, std::set<std::uint16_t> ids)
{
    m_droppedPeers[role] = std::move(ids);
}

bool SecureLinks::isTrafficDropped(const Hello &peer) const
{
    const auto at = m_droppedPeers.find(peer.role);
    return at != m_droppedPeers.end() && at->second.contains(peer.id);
}

std::uint64_t SecureLinks::bytesSent() const
{
    return m_hub.bytesSent();
}

std::uint64_t SecureLinks::rejected() const
{
    return m_rejected;
}

} // namespace Robinrail

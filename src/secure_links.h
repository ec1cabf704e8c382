// SPDX-License-Identifier: MIT
// Secure links: authenticated message links to peers at configured addresses, dialled again whenever they break.
#pragma once

#include "link_activity.h"
#include "link_message.h"
#include "secure_session.h"
#include "websocket_hub.h"

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <set>

namespace Robinrail {

// Delay before dialling again after a link broke or an attempt failed.
inline constexpr std::chrono::milliseconds RedialDelay{200};

// Maximum number of open links.
inline constexpr std::size_t MaxLinks = 1024;

struct SecureLinkCallbacks {
    std::function<void(LinkHandle, const Hello &peer)> established;
    std::function<void(LinkHandle, const Hello &peer, const LinkMessage &)> received;
    std::function<void(LinkHandle, const Hello &peer)> closed; // Only for links that were established.
};

class SecureLinks
{
public:
    SecureLinks(boost::asio::io_context &io, const ClusterKey &key, PeerRole role, std::uint16_t id, SecureLinkCallbacks callbacks);

    bool listen(Endpoint endpoint);

    // Maintains a link to an address from now on.
    void maintain(Endpoint endpoint);

    // Sends pings and closes silent links. To be called about every 100 ms.
    void tick(TimePoint now);

    void send(LinkHandle link, const LinkMessage &message);

    // Established links to a peer: those that this node dialled or, if there are none, those that the peer dialled. A replica
    // that moved to another address is dialled by no node until all settings contain that address; until then only the
    // links that it dials itself reach it, and it needs them to join.
    std::vector<LinkHandle> linksTo(PeerRole role, std::uint16_t id) const;
    std::vector<LinkHandle> links(PeerRole role) const;

    // Fault injection for tests: drops messages from and to these peers of a role.
    void dropTraffic(PeerRole role, std::set<std::uint16_t> ids);

    std::uint64_t bytesSent() const;

    // Number of links closed after a malformed or unauthenticated message.
    std::uint64_t rejected() const;

private:
    struct Link {
        SecureSession session;
        std::uint64_t tag = 0; // Index + 1 of the dialled address in m_maintained; 0: accepted.
        LinkActivity activity;
        bool peerPings = false; // Whether the peer has sent a ping. Earlier releases send none, so their silence is no fault.
    };
    void opened(LinkHandle handle, std::uint64_t tag);
    void received(LinkHandle handle, const std::vector<std::uint8_t> &bytes);
    void deliver(LinkHandle handle, const SecureSession &session);
    void closed(LinkHandle handle, std::uint64_t tag);
    void closeLink(LinkHandle handle);
    void redial(std::uint64_t tag);
    bool isTrafficDropped(const Hello &peer) const;

    boost::asio::io_context &m_io;
    ClusterKey m_key;
    PeerRole m_role;
    std::uint16_t m_id;
    SecureLinkCallbacks m_callbacks;
    std::vector<Endpoint> m_maintained; // Indexed by tag - 1, like m_timers.
    std::vector<std::unique_ptr<boost::asio::steady_timer>> m_timers;
    std::map<LinkHandle, Link> m_links;
    std::map<PeerRole, std::set<std::uint16_t>> m_droppedPeers;
    std::uint64_t m_rejected = 0;
    LinkActivityClock m_clock;
    WebsocketHub m_hub;
};

} // namespace Robinrail

// SPDX-License-Identifier: MIT
// Secure links: authenticated message links to named peers, dialled again whenever they break.
#pragma once

#include "link_message.h"
#include "link_silence.h"
#include "secure_session.h"
#include "websocket_hub.h"

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <set>

namespace Robinrail {

// A link that broke or could not be made is dialled again after this time.
inline constexpr std::chrono::milliseconds RedialDelay{200};

// Most links that are open at once.
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

    // Keeps a link to an address up from now on.
    void maintain(Endpoint endpoint);

    // Pings and closes silent links. Call it every 100 ms or so.
    void tick(TimePoint now);

    void send(LinkHandle link, const LinkMessage &message);

    // Links on which a peer is reached: those that were dialled from here, else those that it dialled. A replica that moved
    // to another address is dialled by nobody until all settings name that, and could else never be taken in.
    std::vector<LinkHandle> linksTo(PeerRole role, std::uint16_t id) const;
    std::vector<LinkHandle> links(PeerRole role) const;

    // For tests of failures: messages from and to these peers of a role are dropped.
    void dropTraffic(PeerRole role, std::set<std::uint16_t> ids);

    std::uint64_t bytesSent() const;
    std::uint64_t rejected() const;

private:
    struct Link {
        SecureSession session;
        std::uint64_t tag = 0; // Of the maintained address that was dialled; 0: accepted.
        LinkActivity times;
        bool pinged = false; // By the peer: earlier releases do not ping, so that their silence says nothing.
    };
    void opened(LinkHandle handle, std::uint64_t tag);
    void received(LinkHandle handle, const std::vector<std::uint8_t> &bytes);
    void deliver(LinkHandle handle, const SecureSession &session);
    void closed(LinkHandle handle, std::uint64_t tag);
    void drop(LinkHandle handle);
    void redial(std::uint64_t tag);
    bool dropped(const Hello &peer) const;

    boost::asio::io_context &m_io;
    ClusterKey m_key;
    PeerRole m_role;
    std::uint16_t m_id;
    SecureLinkCallbacks m_callbacks;
    std::vector<Endpoint> m_maintained; // By tag - 1.
    std::vector<std::unique_ptr<boost::asio::steady_timer>> m_timers;
    std::map<LinkHandle, Link> m_links;
    std::map<PeerRole, std::set<std::uint16_t>> m_dropped;
    std::uint64_t m_rejected = 0;
    LinkActivityClock m_clock;
    WebsocketHub m_hub;
};

} // namespace Robinrail

// SPDX-License-Identifier: MIT
// Websocket hub: message links over websocketpp, behind an interface that is valid C++17 and C++20.
//
// websocketpp 0.8.2 does not compile as C++20 with g++ 12, so websocket_hub.cpp is the only translation unit that is
// compiled as C++17, and this header uses no later features.
#pragma once

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Robinrail {

// Identifies an open connection of a hub; never 0 and never reused.
using LinkHandle = std::uint64_t;

// Notifications to the owner of a hub. `tag` is the argument of connect(), or 0 for an accepted connection.
struct WebsocketCallbacks {
    std::function<void(LinkHandle, std::uint64_t tag)> opened;
    std::function<void(LinkHandle, const std::vector<std::uint8_t> &)> received;
    std::function<void(LinkHandle, std::uint64_t tag)> closed;
    std::function<void(std::uint64_t tag)> connected; // The TCP connection is established; the handshake begins.
    std::function<void(std::uint64_t tag, bool connected)> failed; // An attempt failed, after `connected` or before it.
};

class WebsocketHub
{
public:
    WebsocketHub(boost::asio::io_context &io, std::size_t maxMessage, WebsocketCallbacks callbacks);
    ~WebsocketHub();
    WebsocketHub(const WebsocketHub &) = delete;
    WebsocketHub &operator=(const WebsocketHub &) = delete;

    // Listens on an IPv4 address; false if it can't be bound.
    bool listen(const std::string &address, std::uint16_t port);

    void connect(const std::string &address, std::uint16_t port, std::uint64_t tag);
    void send(LinkHandle link, const std::vector<std::uint8_t> &message);
    void close(LinkHandle link);

    // Bytes that were sent on a link and not yet written to its socket.
    std::size_t buffered(LinkHandle link) const;

    // Total bytes of messages sent so far, without websocket headers.
    std::uint64_t bytesSent() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace Robinrail

// SPDX-License-Identifier: MIT
// Websocket hub: message links over websocketpp, behind an interface that C++17 and C++20 share.
//
// websocketpp 0.8.2 does not compile as C++20 with g++ 12, so websocket_hub.cpp is the one C++17 unit
// and this header uses nothing newer.
#pragma once

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Robinrail {

// One open connection of a hub; never reused.
using LinkHandle = std::uint64_t;

// What a hub tells its owner. `tag` is what connect() was given, 0 for an accepted connection.
struct WebsocketCallbacks {
    std::function<void(LinkHandle, std::uint64_t tag)> opened;
    std::function<void(LinkHandle, const std::vector<std::uint8_t> &)> received;
    std::function<void(LinkHandle, std::uint64_t tag)> closed;
    std::function<void(std::uint64_t tag)> connected; // The peer's machine answered; its handshake begins.
    std::function<void(std::uint64_t tag, bool connected)> failed; // A connect that never opened.
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

    // Bytes that were sent on a link and wait to be written.
    std::size_t buffered(LinkHandle link) const;

    // Bytes sent so far, headers left out.
    std::uint64_t bytesSent() const;

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

} // namespace Robinrail

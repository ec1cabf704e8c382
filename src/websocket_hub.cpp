// SPDX-License-Identifier: MIT
// Websocket hub: websocketpp server and client on one io_context. Compiled as C++17.
#include "websocket_hub.h"

#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include <map>

namespace Robinrail {

namespace {

// Milliseconds until an attempt to connect, to shake hands or to close is given up. A peer behind a cut says
// nothing; the library's 5 s would keep a node from trying again.
constexpr long HandshakeTimeout = 1500;

// The same for the connection alone. A machine without power drops the opening packet, which the kernel sends
// again only after a second; data centres are a few milliseconds apart, and regions some tens.
constexpr long ConnectTimeout = 300;

// Bytes of the read buffer of a connection; the library's 16 KiB times a hundred peers is more than all else.
constexpr std::size_t ReadBuffer = 4096;

template<typename Base>
struct LinkConfig : Base {
    using type = LinkConfig; // NOLINT(readability-identifier-naming): the library's name
    struct TransportConfig : Base::transport_config {
        static const long timeout_socket_post_init = HandshakeTimeout; // NOLINT(readability-identifier-naming)
        static const long timeout_connect = ConnectTimeout; // NOLINT(readability-identifier-naming)
        static const long timeout_socket_shutdown = HandshakeTimeout; // NOLINT(readability-identifier-naming)
    };
    using transport_type = websocketpp::transport::asio::endpoint<TransportConfig>; // NOLINT(readability-identifier-naming)
    static const long timeout_open_handshake = HandshakeTimeout; // NOLINT(readability-identifier-naming)
    static const long timeout_close_handshake = HandshakeTimeout; // NOLINT(readability-identifier-naming)
    static const std::size_t connection_read_buffer_size = ReadBuffer; // NOLINT(readability-identifier-naming)
};

using Server = websocketpp::server<LinkConfig<websocketpp::config::asio>>;
using Client = websocketpp::client<LinkConfig<websocketpp::config::asio_client>>;
using Weak = websocketpp::connection_hdl;

} // namespace

struct WebsocketHub::Private {
    struct Link {
        Weak weak;
        bool accepted = false;
        std::uint64_t tag = 0;
    };

    WebsocketCallbacks callbacks;
    Server server;
    Client client;
    std::map<LinkHandle, Link> links;
    std::map<Weak, LinkHandle, std::owner_less<Weak>> handles;
    LinkHandle last = 0;
    std::uint64_t sent = 0;

    void opened(const Weak &weak, bool accepted, std::uint64_t tag)
    {
        const LinkHandle handle = ++last;
        links[handle] = {weak, accepted, tag};
        handles[weak] = handle;
        callbacks.opened(handle, tag);
    }

    void received(const Weak &weak, const std::string &payload)
    {
        const auto at = handles.find(weak);
        if (at != handles.end()) {
            callbacks.received(at->second, std::vector<std::uint8_t>(payload.begin(), payload.end()));
        }
    }

    void closed(const Weak &weak)
    {
        const auto at = handles.find(weak);
        if (at == handles.end()) {
            return;
        }
        const LinkHandle handle = at->second;
        const std::uint64_t tag = links[handle].tag;
        links.erase(handle);
        handles.erase(at);
        callbacks.closed(handle, tag);
    }

    template<typename Side>
    void prepare(Side &side, boost::asio::io_context &io, std::size_t maxMessage)
    {
        side.clear_access_channels(websocketpp::log::alevel::all);
        side.clear_error_channels(websocketpp::log::elevel::all);
        side.init_asio(&io);
        side.set_max_message_size(maxMessage);
        side.set_socket_init_handler([](const Weak &, boost::asio::ip::tcp::socket &socket) {
            // Small messages must not wait for the peer's acknowledgement.
            boost::system::error_code ignored;
            socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
        });
        side.set_close_handler([this](const Weak &weak) {
            closed(weak);
        });
        side.set_message_handler([this](const Weak &weak, const typename Side::message_ptr &message) {
            received(weak, message->get_payload());
        });
    }

    template<typename Side>
    void send(Side &side, const Weak &weak, const std::vector<std::uint8_t> &message)
    {
        websocketpp::lib::error_code error;
        side.send(weak, message.data(), message.size(), websocketpp::frame::opcode::binary, error);
        sent += error ? 0 : message.size();
    }
};

WebsocketHub::WebsocketHub(boost::asio::io_context &io, std::size_t maxMessage, WebsocketCallbacks callbacks)
    : m_private(std::make_unique<Private>())
{
    m_private->callbacks = std::move(callbacks);
    m_private->prepare(m_private->server, io, maxMessage);
    m_private->prepare(m_private->client, io, maxMessage);
    m_private->server.set_open_handler([this](const Weak &weak) {
        m_private->opened(weak, true, 0);
    });
}

WebsocketHub::~WebsocketHub() = default;

bool WebsocketHub::listen(const std::string &address, std::uint16_t port)
{
    websocketpp::lib::error_code error;
    m_private->server.set_reuse_addr(true);
    m_private->server.listen(boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address_v4(address), port), error);
    if (error) {
        return false;
    }
    m_private->server.start_accept(error);
    return !error;
}

void WebsocketHub::connect(const std::string &address, std::uint16_t port, std::uint64_t tag)
{
    websocketpp::lib::error_code error;
    const Client::connection_ptr connection = m_private->client.get_connection("ws://" + address + ":" + std::to_string(port) + "/", error);
    if (error) {
        m_private->callbacks.failed(tag, false);
        return;
    }
    const auto answered = std::make_shared<bool>(false);
    connection->set_tcp_post_init_handler([this, tag, answered](const Weak &) {
        *answered = true;
        m_private->callbacks.connected(tag);
    });
    connection->set_open_handler([this, tag](const Weak &weak) {
        m_private->opened(weak, false, tag);
    });
    connection->set_fail_handler([this, tag, answered](const Weak &) {
        m_private->callbacks.failed(tag, *answered);
    });
    m_private->client.connect(connection);
}

void WebsocketHub::send(LinkHandle link, const std::vector<std::uint8_t> &message)
{
    const auto at = m_private->links.find(link);
    if (at == m_private->links.end()) {
        return;
    }
    if (at->second.accepted) {
        m_private->send(m_private->server, at->second.weak, message);
    } else {
        m_private->send(m_private->client, at->second.weak, message);
    }
}

void WebsocketHub::close(LinkHandle link)
{
    const auto at = m_private->links.find(link);
    if (at == m_private->links.end()) {
        return;
    }
    websocketpp::lib::error_code error;
    if (at->second.accepted) {
        m_private->server.close(at->second.weak, websocketpp::close::status::policy_violation, "", error);
    } else {
        m_private->client.close(at->second.weak, websocketpp::close::status::normal, "", error);
    }
}

std::size_t WebsocketHub::buffered(LinkHandle link) const
{
    const auto at = m_private->links.find(link);
    if (at == m_private->links.end()) {
        return 0;
    }
    websocketpp::lib::error_code error;
    if (at->second.accepted) {
        const auto connection = m_private->server.get_con_from_hdl(at->second.weak, error);
        return error ? 0 : connection->get_buffered_amount();
    }
    const auto connection = m_private->client.get_con_from_hdl(at->second.weak, error);
    return error ? 0 : connection->get_buffered_amount();
}

std::uint64_t WebsocketHub::bytesSent() const
{
    return m_private->sent;
}

} // namespace Robinrail

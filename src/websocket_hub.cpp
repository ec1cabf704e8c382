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

// Timeout of the opening and the closing handshake. A peer behind a network partition does not answer, and
// the 5 s of websocketpp would delay the next attempt too long.
constexpr long HandshakeTimeoutMs = 1500;

// Timeout of the TCP connection. A machine without power drops the SYN, and the kernel retransmits it only after
// a second; round trips take a few milliseconds between data centres and some tens between regions.
constexpr long ConnectTimeoutMs = 300;

// Read buffer of a connection. The 16 KiB of websocketpp, for a hundred peers, would exceed all other memory of the process.
constexpr std::size_t ReadBufferBytes = 4096;

template<typename Base>
struct LinkConfig : Base {
    using type = LinkConfig; // NOLINT(readability-identifier-naming): name given by websocketpp
    struct TransportConfig : Base::transport_config {
        static const long timeout_socket_post_init = HandshakeTimeoutMs; // NOLINT(readability-identifier-naming)
        static const long timeout_connect = ConnectTimeoutMs; // NOLINT(readability-identifier-naming)
        static const long timeout_socket_shutdown = HandshakeTimeoutMs; // NOLINT(readability-identifier-naming)
    };
    using transport_type = websocketpp::transport::asio::endpoint<TransportConfig>; // NOLINT(readability-identifier-naming)
    static const long timeout_open_handshake = HandshakeTimeoutMs; // NOLINT(readability-identifier-naming)
    static const long timeout_close_handshake = HandshakeTimeoutMs; // NOLINT(readability-identifier-naming)
    static const std::size_t connection_read_buffer_size = ReadBufferBytes; // NOLINT(readability-identifier-naming)
};

using Server = websocketpp::server<LinkConfig<websocketpp::config::asio>>;
using Client = websocketpp::client<LinkConfig<websocketpp::config::asio_client>>;
using ConnectionHandle = websocketpp::connection_hdl;

} // namespace

struct WebsocketHub::Impl {
    struct Link {
        ConnectionHandle connectionHandle;
        bool accepted = false;
        std::uint64_t tag = 0;
    };

    WebsocketCallbacks callbacks;
    Server server;
    Client client;
    std::map<LinkHandle, Link> links;
    std::map<ConnectionHandle, LinkHandle, std::owner_less<ConnectionHandle>> handles;
    LinkHandle lastHandle = 0;
    std::uint64_t sentBytes = 0;

    void opened(const ConnectionHandle &connectionHandle, bool accepted, std::uint64_t tag)
    {
        const LinkHandle handle = ++lastHandle;
        links[handle] = {connectionHandle, accepted, tag};
        handles[connectionHandle] = handle;
        callbacks.opened(handle, tag);
    }

    void received(const ConnectionHandle &connectionHandle, const std::string &payload)
    {
        const auto at = handles.find(connectionHandle);
        if (at != handles.end()) {
            callbacks.received(at->second, std::vector<std::uint8_t>(payload.begin(), payload.end()));
        }
    }

    void closed(const ConnectionHandle &connectionHandle)
    {
        const auto at = handles.find(connectionHandle);
        if (at == handles.end()) {
            return;
        }
        const LinkHandle handle = at->second;
        const std::uint64_t tag = links[handle].tag;
        links.erase(handle);
        handles.erase(at);
        callbacks.closed(handle, tag);
    }

    template<typename WebsocketEndpoint>
    void prepare(WebsocketEndpoint &endpoint, boost::asio::io_context &io, std::size_t maxMessage)
    {
        endpoint.clear_access_channels(websocketpp::log::alevel::all);
        endpoint.clear_error_channels(websocketpp::log::elevel::all);
        endpoint.init_asio(&io);
        endpoint.set_max_message_size(maxMessage);
        endpoint.set_socket_init_handler([](const ConnectionHandle &, boost::asio::ip::tcp::socket &socket) {
            // Without Nagle's algorithm, small messages do not wait for the acknowledgement of earlier ones.
            boost::system::error_code ignored;
            socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
        });
        endpoint.set_close_handler([this](const ConnectionHandle &connectionHandle) {
            closed(connectionHandle);
        });
        endpoint.set_message_handler([this](const ConnectionHandle &connectionHandle, const typename WebsocketEndpoint::message_ptr &message) {
            received(connectionHandle, message->get_payload());
        });
    }

    template<typename WebsocketEndpoint>
    void send(WebsocketEndpoint &endpoint, const ConnectionHandle &connectionHandle, const std::vector<std::uint8_t> &message)
    {
        websocketpp::lib::error_code error;
        endpoint.send(connectionHandle, message.data(), message.size(), websocketpp::frame::opcode::binary, error);
        sentBytes += error ? 0 : message.size();
    }
};

WebsocketHub::WebsocketHub(boost::asio::io_context &io, std::size_t maxMessage, WebsocketCallbacks callbacks)
    : m_impl(std::make_unique<Impl>())
{
    m_impl->callbacks = std::move(callbacks);
    m_impl->prepare(m_impl->server, io, maxMessage);
    m_impl->prepare(m_impl->client, io, maxMessage);
    m_impl->server.set_open_handler([this](const ConnectionHandle &connectionHandle) {
        m_impl->opened(connectionHandle, true, 0);
    });
}

WebsocketHub::~WebsocketHub() = default;

bool WebsocketHub::listen(const std::string &address, std::uint16_t port)
{
    websocketpp::lib::error_code error;
    m_impl->server.set_reuse_addr(true);
    m_impl->server.listen(boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address_v4(address), port), error);
    if (error) {
        return false;
    }
    m_impl->server.start_accept(error);
    return !error;
}

void WebsocketHub::connect(const std::string &address, std::uint16_t port, std::uint64_t tag)
{
    websocketpp::lib::error_code error;
    const Client::connection_ptr connection = m_impl->client.get_connection("ws://" + address + ":" + std::to_string(port) + "/", error);
    if (error) {
        m_impl->callbacks.failed(tag, false);
        return;
    }
    const auto tcpConnected = std::make_shared<bool>(false);
    connection->set_tcp_post_init_handler([this, tag, tcpConnected](const ConnectionHandle &) {
        *tcpConnected = true;
        m_impl->callbacks.connected(tag);
    });
    connection->set_open_handler([this, tag](const ConnectionHandle &connectionHandle) {
        m_impl->opened(connectionHandle, false, tag);
    });
    connection->set_fail_handler([this, tag, tcpConnected](const ConnectionHandle &) {
        m_impl->callbacks.failed(tag, *tcpConnected);
    });
    m_impl->client.connect(connection);
}

void WebsocketHub::send(LinkHandle link, const std::vector<std::uint8_t> &message)
{
    const auto at = m_impl->links.find(link);
    if (at == m_impl->links.end()) {
        return;
    }
    if (at->second.accepted) {
        m_impl->send(m_impl->server, at->second.connectionHandle, message);
    } else {
        m_impl->send(m_impl->client, at->second.connectionHandle, message);
    }
}

void WebsocketHub::close(LinkHandle link)
{
    const auto at = m_impl->links.find(link);
    if (at == m_impl->links.end()) {
        return;
    }
    websocketpp::lib::error_code error;
    if (at->second.accepted) {
        m_impl->server.close(at->second.connectionHandle, websocketpp::close::status::policy_violation, "", error);
    } else {
        m_impl->client.close(at->second.connectionHandle, websocketpp::close::status::normal, "", error);
    }
}

std::size_t WebsocketHub::buffered(LinkHandle link) const
{
    const auto at = m_impl->links.find(link);
    if (at == m_impl->links.end()) {
        return 0;
    }
    websocketpp::lib::error_code error;
    if (at->second.accepted) {
        const auto connection = m_impl->server.get_con_from_hdl(at->second.connectionHandle, error);
        return error ? 0 : connection->get_buffered_amount();
    }
    const auto connection = m_impl->client.get_con_from_hdl(at->second.connectionHandle, error);
    return error ? 0 : connection->get_buffered_amount();
}

std::uint64_t WebsocketHub::bytesSent() const
{
    return m_impl->sentBytes;
}

} // namespace Robinrail

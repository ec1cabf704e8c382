// SPDX-License-Identifier: MIT
// HTTP: the small server behind the administration API, and the client that the operator's tool uses.
#pragma once

#include "types.h"

#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Robinrail {

// Largest request body, bytes, and how long a connection may take for one request.
inline constexpr std::size_t MaxHttpBody = std::size_t{2} << 20U;
inline constexpr std::chrono::seconds HttpTimeout{10};

// How long a connection may rest before its next request: three announcements of a target that makes them every
// 1.2 s. A target that went to another replica would hold this one's connection for nothing.
inline constexpr std::chrono::seconds HttpIdleTimeout{4};

// Most open connections; one more is closed at once. At 3,000 targets that keep their connections, each of 5
// replicas has 600; a process of the users' platform may have 4,096 descriptors.
inline constexpr std::size_t MaxHttpConnections = 2048;

struct HttpRequest {
    std::string method;
    std::string path; // Without the query.
    std::string query;
    std::string token; // Of "Authorization: Bearer".
    std::string body;
};

struct HttpReply {
    unsigned status = 200;
    std::string contentType = "application/json";
    std::string body;
    std::string location = {}; // Of a redirection; empty otherwise.
};

using HttpRespond = std::function<void(HttpReply)>;
using HttpHandler = std::function<void(const HttpRequest &, HttpRespond)>;

class HttpServer
{
public:
    HttpServer(boost::asio::io_context &io, HttpHandler handler);

    // Binds an address; false if it can't be bound.
    bool listen(Endpoint endpoint);

private:
    void accept();

    boost::asio::ip::tcp::acceptor m_acceptor;
    HttpHandler m_handler;
    std::shared_ptr<std::size_t> m_open;
};

// The answer to a call; empty if the server gave none in time.
using HttpDone = std::function<void(std::optional<HttpReply>)>;

// Sends one request; `done` runs once, from within `io`.
void startHttpCall(boost::asio::io_context &io, Endpoint endpoint, const HttpRequest &request, std::chrono::milliseconds timeout, HttpDone done);

// Sends one request and waits for the answer; empty if the server can't be reached in time.
std::optional<HttpReply> httpCall(Endpoint endpoint, const HttpRequest &request, std::chrono::milliseconds timeout);

// The value of a key in a query; empty without it.
std::string queryValue(std::string_view query, std::string_view key);

} // namespace Robinrail

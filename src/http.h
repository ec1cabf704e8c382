// SPDX-License-Identifier: MIT
// HTTP: the small server behind the administration API, and the client that the operator's tool uses.
#pragma once

#include "types.h"

#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <functional>
#include <list>
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

// Most open connections; for one more the one that has rested longest is closed, or the new one if none rests. With
// 12,630 targets at 5 replicas each has 2,526. Together with MaxNodeLinks it is below the 3,896 descriptors that sockets
// may use on the smallest VM for a replica, so that a flood of connections never costs a link between nodes.
inline constexpr std::size_t MaxHttpConnections = 2560;

struct HttpRequest {
    std::string method;
    std::string path; // Without the query.
    std::string query;
    std::string token; // Of "Authorization: Bearer".
    std::string body;
};

struct HttpResponse {
    unsigned status = 200;
    std::string contentType = "application/json";
    std::string body;
    std::string location = {}; // Of a redirection; empty otherwise.
    bool closeConnection = false; // The client will not ask here again: its connection is closed behind the answer.
};

using HttpResponder = std::function<void(HttpResponse)>;
using HttpHandler = std::function<void(const HttpRequest &, HttpResponder)>;

namespace detail {

class HttpConnection;

// The connections of one server.
struct HttpConnections {
    std::size_t most;
    std::size_t open = 0;
    std::list<HttpConnection *> resting; // Without a request under way, longest rest first.
};

} // namespace detail

class HttpServer
{
public:
    // Keeps `most` connections open at the most.
    HttpServer(boost::asio::io_context &io, HttpHandler handler, std::size_t most = MaxHttpConnections);

    // How many connections are open.
    std::size_t connections() const;

    // Binds an address; false if it can't be bound.
    bool listen(Endpoint endpoint);

private:
    void accept();

    boost::asio::ip::tcp::acceptor m_acceptor;
    HttpHandler m_handler;
    std::shared_ptr<detail::HttpConnections> m_connections;
};

// The answer to a call; empty if the server gave none in time.
using HttpCallback = std::function<void(std::optional<HttpResponse>)>;

// Sends one request; `done` runs once, from within `io`.
void startHttpRequest(boost::asio::io_context &io, Endpoint endpoint, const HttpRequest &request, std::chrono::milliseconds timeout, HttpCallback done);

// Sends one request and waits for the answer; empty if the server can't be reached in time.
std::optional<HttpResponse> sendHttpRequest(Endpoint endpoint, const HttpRequest &request, std::chrono::milliseconds timeout);

// The value of a key in a query; empty without it.
std::string queryValue(std::string_view query, std::string_view key);

} // namespace Robinrail

// SPDX-License-Identifier: MIT
// HTTP: a minimal HTTP/1.1 server for the administration API, and a client.
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

// Maximum size of a request body in bytes, and time limits for reading a connection's first request and for writing a response.
inline constexpr std::size_t MaxHttpBody = std::size_t{2} << 20U;
inline constexpr std::chrono::seconds HttpTimeout{10};

// Time limit for the next request on a kept connection: three announcements of a target that sends one every 1.2 s.
// A longer one would keep connections of targets that have moved to another replica.
inline constexpr std::chrono::seconds HttpIdleTimeout{4};

// Maximum number of open connections. One more closes the connection that has been idle longest, or is itself refused if
// none is idle. With 12,630 targets at 5 replicas, each replica has 2,526. The sum with MaxNodeLinks is below the 3,896
// descriptors available for sockets on the smallest VM for a replica, so that a flood of connections never costs a link
// between nodes.
inline constexpr std::size_t MaxHttpConnections = 2560;

struct HttpRequest {
    std::string method;
    std::string path; // Excluding the query.
    std::string query;
    std::string token; // From "Authorization: Bearer"; empty without it.
    std::string body;
};

struct HttpResponse {
    unsigned status = 200;
    std::string contentType = "application/json";
    std::string body;
    std::string location = {}; // Target of a redirection; empty otherwise.
    bool closeConnection = false; // Close the connection after this response, as the client sends its next request elsewhere.
};

using HttpResponder = std::function<void(HttpResponse)>;
using HttpHandler = std::function<void(const HttpRequest &, HttpResponder)>;

namespace detail {

class HttpConnection;

// The open connections of one server.
struct HttpConnections {
    std::size_t max;
    std::size_t open = 0;
    std::list<HttpConnection *> idle; // Between two requests, longest idle first.
};

} // namespace detail

class HttpServer
{
public:
    HttpServer(boost::asio::io_context &io, HttpHandler handler, std::size_t maxConnections = MaxHttpConnections);

    // Number of open connections.
    std::size_t connections() const;

    // Binds an address and starts to accept connections; false if it can't be bound.
    bool listen(Endpoint endpoint);

private:
    void accept();

    boost::asio::ip::tcp::acceptor m_acceptor;
    HttpHandler m_handler;
    std::shared_ptr<detail::HttpConnections> m_connections;
};

// Receives the response; empty if the request failed or timed out.
using HttpCallback = std::function<void(std::optional<HttpResponse>)>;

// Sends one request asynchronously; `done` is called once, from `io`.
void startHttpRequest(boost::asio::io_context &io, Endpoint endpoint, const HttpRequest &request, std::chrono::milliseconds timeout, HttpCallback done);

// Sends one request and waits for the response; empty if the request failed or timed out.
std::optional<HttpResponse> sendHttpRequest(Endpoint endpoint, const HttpRequest &request, std::chrono::milliseconds timeout);

// The value of a key in a query string, not percent-decoded; empty if the key is missing.
std::string queryValue(std::string_view query, std::string_view key);

} // namespace Robinrail

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

// Bodies above MaxSmallHttpBody share MaxBufferedBodies on all connections of a server; one that would exceed it is refused (503)
// before it is read. The smaller ones, such as announcements, are always read: at most 20 MB on MaxHttpConnections.
inline constexpr std::size_t MaxSmallHttpBody = 8192;
inline constexpr std::size_t MaxBufferedBodies = 4 * MaxHttpBody;

// When a client may retry a refused body: the largest one takes less than that to be handled.
inline constexpr std::chrono::seconds BodyRetryDelay{1};

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
    std::chrono::seconds retryAfter{}; // Time after which to retry; 0: not specified.
    bool closeConnection = false; // Close the connection after this response, as the client sends its next request elsewhere.
};

// Answers one request, now or later. Copies answer the same request, and only the first answer counts. A response that can't be
// written, or an exception in a function passed to guard(), answer() or later(), becomes an error response (500) and a
// rate-limited log line, so that no input terminates the process.
class HttpResponder
{
public:
    using Write = std::function<void(HttpResponse)>;

    // `write` is called at most twice: again with an error response if the first call throws. `request` is for the log.
    explicit HttpResponder(Write write, std::string request = {});

    void operator()(HttpResponse response) const noexcept;

    // Calls a function that answers through a copy of this responder, now or later.
    template<typename Function>
    void guard(Function function) const noexcept
    {
        try {
            function();
        } catch (...) {
            fail();
        }
    }

    // Answers with the result of a function.
    template<typename Make>
    void answer(Make make) const noexcept
    {
        guard([&] {
            (*this)(make());
        });
    }

    // Returns a callback that answers with the result of `make`, called with the arguments of the callback. Callbacks that
    // complete an answer later must be made by this function: they are called from an event loop that catches nothing.
    template<typename Make>
    auto later(Make make) const
    {
        return [responder = *this, make = std::move(make)](const auto &...arguments) {
            responder.answer([&] {
                return make(arguments...);
            });
        };
    }

private:
    struct Answer {
        Write write; // Empty once the request is answered.
        std::string request;
    };

    void fail() const noexcept; // Called in a catch block.

    std::shared_ptr<Answer> m_answer;
};

using HttpHandler = std::function<void(const HttpRequest &, const HttpResponder &)>;

namespace detail {

class HttpConnection;

// The open connections of one server.
struct HttpConnections {
    std::size_t max;
    std::size_t open = 0;
    std::list<HttpConnection *> idle; // Between two requests, longest idle first.
    std::size_t bufferedBodies = 0; // Sum of the bodies above MaxSmallHttpBody that are being read or handled, bytes.
};

} // namespace detail

class HttpServer
{
public:
    HttpServer(boost::asio::io_context &io, HttpHandler handler, std::size_t maxConnections = MaxHttpConnections);

    // Number of open connections.
    std::size_t connections() const;

    // Size of the bodies above MaxSmallHttpBody that are being read or handled, bytes.
    std::size_t bufferedBodies() const;

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

// Handles one request as a connection of HttpServer does, from the bytes received to those sent, but without a socket. Returns
// the response; empty if the request is incomplete or not yet answered.
std::string handleHttpBytes(std::string_view bytes, const HttpHandler &handler);

// The value of a key in a query string, not percent-decoded; empty if the key is missing.
std::string queryValue(std::string_view query, std::string_view key);

} // namespace Robinrail

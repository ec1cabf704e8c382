// SPDX-License-Identifier: MIT
// HTTP: Boost.Beast.
#include "http.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace Robinrail {

namespace beast = boost::beast;
namespace http = beast::http;
using Tcp = boost::asio::ip::tcp;

namespace {

constexpr std::string_view Bearer = "Bearer ";

Tcp::endpoint toTcp(Endpoint endpoint)
{
    return {boost::asio::ip::address_v4(endpoint.address), endpoint.port};
}

HttpRequest unpack(const http::request<http::string_body> &message)
{
    HttpRequest request;
    request.method = std::string(message.method_string());
    const std::string target(message.target());
    const std::size_t mark = target.find('?');
    request.path = target.substr(0, mark);
    request.query = mark != std::string::npos ? target.substr(mark + 1) : std::string();
    const std::string authorization(message[http::field::authorization]);
    if (authorization.starts_with(Bearer)) {
        request.token = authorization.substr(Bearer.size());
    }
    request.body = message.body();
    return request;
}

} // namespace

// One connection: requests and answers in turn, until the client wants no more. Keeps itself alive through its
// handlers. To open a connection costs several times what a request does, and targets call every second.
class detail::HttpConnection : public std::enable_shared_from_this<detail::HttpConnection>
{
public:
    HttpConnection(Tcp::socket socket, const HttpHandler &handler, std::shared_ptr<HttpConnections> connections)
        : m_stream(std::move(socket))
        , m_handler(handler)
        , m_connections(std::move(connections))
    {
        ++m_connections->open;
    }

    HttpConnection(const HttpConnection &) = delete;
    HttpConnection &operator=(const HttpConnection &) = delete;

    ~HttpConnection()
    {
        rouse();
        --m_connections->open;
    }

    // Reads the next request; the first one may take longer than a later one may keep us waiting.
    void start(std::chrono::seconds patience = HttpTimeout)
    {
        m_parser.emplace();
        m_parser->body_limit(MaxHttpBody);
        m_stream.expires_after(patience);
        http::async_read(m_stream, m_buffer, *m_parser, [self = shared_from_this()](beast::error_code error, std::size_t) {
            self->rouse();
            if (!error) {
                self->handle();
            }
        });
    }

    // Closes a resting connection; false if a request has begun to come.
    bool closeIfUnused()
    {
        beast::error_code error;
        if (m_buffer.size() > 0 || m_stream.socket().available(error) > 0) {
            return false;
        }
        rouse();
        m_stream.close();
        return true;
    }

private:
    void rest()
    {
        m_connections->resting.push_back(this);
        m_resting = std::prev(m_connections->resting.end());
        start(HttpIdleTimeout);
    }

    void rouse()
    {
        if (m_resting) {
            m_connections->resting.erase(*std::exchange(m_resting, std::nullopt));
        }
    }

    void handle()
    {
        m_handler(unpack(m_parser->get()), [self = shared_from_this()](HttpResponse reply) {
            self->answer(std::move(reply));
        });
    }

    void answer(HttpResponse reply)
    {
        m_response = {};
        m_response.result(reply.status);
        m_response.set(http::field::content_type, reply.contentType);
        if (!reply.location.empty()) {
            m_response.set(http::field::location, reply.location);
        }
        m_response.keep_alive(m_parser->get().keep_alive() && !reply.closeConnection);
        m_response.body() = std::move(reply.body);
        m_response.prepare_payload();
        m_stream.expires_after(HttpTimeout);
        http::async_write(m_stream, m_response, [self = shared_from_this()](beast::error_code error, std::size_t) {
            if (!error && self->m_response.keep_alive()) {
                return self->rest();
            }
            beast::error_code ignored;
            self->m_stream.socket().shutdown(Tcp::socket::shutdown_send, ignored);
        });
    }

    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    std::optional<http::request_parser<http::string_body>> m_parser; // Of the present request.
    http::response<http::string_body> m_response;
    const HttpHandler &m_handler;
    std::shared_ptr<HttpConnections> m_connections;
    std::optional<std::list<HttpConnection *>::iterator> m_resting; // Its place among those that rest.
};

namespace {

// One call to a server: connect, write, read. Keeps itself alive through its handlers.
class Call : public std::enable_shared_from_this<Call>
{
public:
    Call(boost::asio::io_context &io, const HttpRequest &request, HttpCallback done)
        : m_stream(io)
        , m_done(std::move(done))
    {
        m_request.version(Http11);
        m_request.method_string(request.method);
        m_request.target(request.path + (request.query.empty() ? "" : "?" + request.query));
        m_request.set(http::field::host, "robinrail");
        if (!request.token.empty()) {
            m_request.set(http::field::authorization, std::string(Bearer) + request.token);
        }
        m_request.body() = request.body;
        m_request.prepare_payload();
    }

    void start(Endpoint endpoint, std::chrono::milliseconds timeout)
    {
        m_stream.expires_after(timeout);
        m_stream.async_connect(toTcp(endpoint), [self = shared_from_this()](beast::error_code error) {
            error ? self->m_done(std::nullopt) : self->write();
        });
    }

private:
    static constexpr unsigned Http11 = 11;

    void write()
    {
        http::async_write(m_stream, m_request, [self = shared_from_this()](beast::error_code error, std::size_t) {
            error ? self->m_done(std::nullopt) : self->read();
        });
    }

    void read()
    {
        http::async_read(m_stream, m_buffer, m_response, [self = shared_from_this()](beast::error_code error, std::size_t) {
            self->m_done(error ? std::nullopt : std::optional(self->reply()));
        });
    }

    HttpResponse reply()
    {
        HttpResponse reply;
        reply.status = m_response.result_int();
        reply.contentType = std::string(m_response[http::field::content_type]);
        reply.location = std::string(m_response[http::field::location]);
        reply.body = std::move(m_response.body());
        return reply;
    }

    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    http::request<http::string_body> m_request;
    http::response<http::string_body> m_response;
    HttpCallback m_done;
};

} // namespace

HttpServer::HttpServer(boost::asio::io_context &io, HttpHandler handler, std::size_t most)
    : m_acceptor(io)
    , m_handler(std::move(handler))
    , m_connections(std::make_shared<detail::HttpConnections>(detail::HttpConnections{most, 0, {}}))
{
}

std::size_t HttpServer::connections() const
{
    return m_connections->open;
}

namespace {

// Makes room for one more connection if need be. Whether there is any.
bool makeRoom(detail::HttpConnections &connections)
{
    if (connections.open < connections.most) {
        return true;
    }
    for (detail::HttpConnection *connection : connections.resting) {
        if (connection->closeIfUnused()) {
            return true;
        }
    }
    return false;
}

} // namespace

bool HttpServer::listen(Endpoint endpoint)
{
    beast::error_code error;
    m_acceptor.open(Tcp::v4(), error);
    m_acceptor.set_option(Tcp::acceptor::reuse_address(true), error);
    m_acceptor.bind(toTcp(endpoint), error);
    if (error) {
        return false;
    }
    m_acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
    if (error) {
        return false;
    }
    accept();
    return true;
}

void HttpServer::accept()
{
    m_acceptor.async_accept([this](beast::error_code error, Tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted) {
            return;
        }
        if (!error && makeRoom(*m_connections)) {
            std::make_shared<detail::HttpConnection>(std::move(socket), m_handler, m_connections)->start();
        }
        accept();
    });
}

void startHttpRequest(boost::asio::io_context &io, Endpoint endpoint, const HttpRequest &request, std::chrono::milliseconds timeout, HttpCallback done)
{
    std::make_shared<Call>(io, request, std::move(done))->start(endpoint, timeout);
}

std::optional<HttpResponse> sendHttpRequest(Endpoint endpoint, const HttpRequest &request, std::chrono::milliseconds timeout)
{
    boost::asio::io_context io;
    std::optional<HttpResponse> answer;
    startHttpRequest(io, endpoint, request, timeout, [&answer](std::optional<HttpResponse> reply) {
        answer = std::move(reply);
    });
    io.run();
    return answer;
}

std::string queryValue(std::string_view query, std::string_view key)
{
    while (!query.empty()) {
        const std::size_t end = query.find('&');
        const std::string_view pair = query.substr(0, end);
        const std::size_t equals = pair.find('=');
        if (equals != std::string_view::npos && pair.substr(0, equals) == key) {
            return std::string(pair.substr(equals + 1));
        }
        query = end == std::string_view::npos ? std::string_view() : query.substr(end + 1);
    }
    return {};
}

} // namespace Robinrail

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

// One connection: one request, one answer, close. Keeps itself alive through its handlers.
class Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(Tcp::socket socket, const HttpHandler &handler, std::shared_ptr<std::size_t> open)
        : m_stream(std::move(socket))
        , m_handler(handler)
        , m_open(std::move(open))
    {
        ++*m_open;
    }

    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    ~Connection()
    {
        --*m_open;
    }

    void start()
    {
        m_parser.body_limit(MaxHttpBody);
        m_stream.expires_after(HttpTimeout);
        http::async_read(m_stream, m_buffer, m_parser, [self = shared_from_this()](beast::error_code error, std::size_t) {
            if (!error) {
                self->handle();
            }
        });
    }

private:
    void handle()
    {
        m_handler(unpack(m_parser.get()), [self = shared_from_this()](HttpReply reply) {
            self->answer(std::move(reply));
        });
    }

    void answer(HttpReply reply)
    {
        m_response.result(reply.status);
        m_response.set(http::field::content_type, reply.contentType);
        if (!reply.location.empty()) {
            m_response.set(http::field::location, reply.location);
        }
        m_response.keep_alive(false);
        m_response.body() = std::move(reply.body);
        m_response.prepare_payload();
        m_stream.expires_after(HttpTimeout);
        http::async_write(m_stream, m_response, [self = shared_from_this()](beast::error_code, std::size_t) {
            beast::error_code ignored;
            self->m_stream.socket().shutdown(Tcp::socket::shutdown_send, ignored);
        });
    }

    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    http::request_parser<http::string_body> m_parser;
    http::response<http::string_body> m_response;
    const HttpHandler &m_handler;
    std::shared_ptr<std::size_t> m_open;
};

} // namespace

HttpServer::HttpServer(boost::asio::io_context &io, HttpHandler handler)
    : m_acceptor(io)
    , m_handler(std::move(handler))
    , m_open(std::make_shared<std::size_t>(0))
{
}

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
        if (!error && *m_open < MaxHttpConnections) {
            std::make_shared<Connection>(std::move(socket), m_handler, m_open)->start();
        }
        accept();
    });
}

std::optional<HttpReply> httpCall(Endpoint endpoint, const HttpRequest &request, std::chrono::milliseconds timeout)
{
    constexpr unsigned Http11 = 11;
    boost::asio::io_context io;
    beast::tcp_stream stream(io);
    beast::flat_buffer buffer;
    http::request<http::string_body> message;
    http::response<http::string_body> response;
    bool complete = false;
    message.version(Http11);
    message.method_string(request.method);
    message.target(request.path + (request.query.empty() ? "" : "?" + request.query));
    message.set(http::field::host, "robinrail");
    if (!request.token.empty()) {
        message.set(http::field::authorization, std::string(Bearer) + request.token);
    }
    message.body() = request.body;
    message.prepare_payload();
    stream.expires_after(timeout);
    stream.async_connect(toTcp(endpoint), [&](beast::error_code connectError) {
        if (connectError) {
            return;
        }
        http::async_write(stream, message, [&](beast::error_code writeError, std::size_t) {
            if (writeError) {
                return;
            }
            http::async_read(stream, buffer, response, [&](beast::error_code readError, std::size_t) {
                complete = !readError;
            });
        });
    });
    io.run();
    if (!complete) {
        return std::nullopt;
    }
    HttpReply reply;
    reply.status = response.result_int();
    reply.contentType = std::string(response[http::field::content_type]);
    reply.body = std::move(response.body());
    return reply;
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

// SPDX-License-Identifier: MIT
// HTTP: implementation with Boost.Beast.
#include "http.h"

#include "log.h"
#include "log_rate_limiter.h"
#include "net.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <exception>
#include <sstream>

namespace Robinrail {

namespace beast = boost::beast;
namespace http = beast::http;
using Tcp = boost::asio::ip::tcp;

namespace {

constexpr std::string_view Bearer = "Bearer ";

using RequestParser = http::request_parser<http::string_body>;
using ResponseMessage = http::response<http::string_body>;

Tcp::endpoint toTcp(Endpoint endpoint)
{
    return {boost::asio::ip::address_v4(endpoint.address), endpoint.port};
}

HttpRequest toHttpRequest(const http::request<http::string_body> &message)
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

ResponseMessage toMessage(HttpResponse response, bool keepAlive)
{
    ResponseMessage message;
    message.result(response.status);
    message.set(http::field::content_type, response.contentType);
    if (!response.location.empty()) {
        message.set(http::field::location, response.location);
    }
    if (response.retryAfter.count() > 0) {
        message.set(http::field::retry_after, std::to_string(response.retryAfter.count()));
    }
    message.keep_alive(keepAlive && !response.closeConnection);
    message.body() = std::move(response.body);
    message.prepare_payload();
    return message;
}

// Response to a request that the parser rejected; empty if the connection ended or timed out, so that nobody waits for one.
std::optional<HttpResponse> rejection(const beast::error_code &error)
{
    if (error.category() != make_error_code(http::error::bad_method).category() || error == http::error::end_of_stream
        || error == http::error::partial_message) {
        return std::nullopt;
    }
    http::status status = http::status::bad_request;
    if (error == http::error::header_limit || error == http::error::buffer_overflow) {
        status = http::status::request_header_fields_too_large;
    } else if (error == http::error::body_limit) {
        status = http::status::payload_too_large;
    }
    HttpResponse response{static_cast<unsigned>(status), "application/json", R"({"error":"request rejected"})"};
    response.closeConnection = true;
    return response;
}

// Size to reserve for the body of a request whose header has been read; a chunked one does not tell it.
std::size_t reservedSize(const RequestParser &parser)
{
    const std::size_t size = parser.chunked() ? MaxHttpBody : static_cast<std::size_t>(parser.content_length().value_or(0));
    return size > MaxSmallHttpBody ? size : 0;
}

HttpResponse bodyRefusal()
{
    HttpResponse response{static_cast<unsigned>(http::status::service_unavailable), "application/json", R"({"error":"too many large requests at once"})"};
    response.retryAfter = BodyRetryDelay;
    response.closeConnection = true;
    return response;
}

// Replaces bytes that are not printable ASCII and limits the length, so that input can't garble or flood the log.
std::string printable(std::string_view text)
{
    constexpr std::size_t MaxLength = 200;
    constexpr char FirstPrintable = ' ';
    constexpr char LastPrintable = '~';
    std::string result(text.substr(0, MaxLength));
    std::replace_if(
        result.begin(),
        result.end(),
        [](char character) {
            return character < FirstPrintable || character > LastPrintable;
        },
        '?');
    return result;
}

// The reason of the exception that is being handled.
std::string currentExceptionText()
{
    try {
        throw;
    } catch (const std::exception &error) {
        return error.what();
    } catch (...) {
        return "unknown exception";
    }
}

void logFailedRequest(const std::string &request)
{
    static thread_local LogRateLimiter limiter;
    if (const auto suppressed = limiter.take(monotonicNow())) {
        LogLine(LogLevel::Error, "http-request-failed")
            .with("request", printable(request))
            .with("reason", printable(currentExceptionText()))
            .with("left-out", *suppressed);
    }
}

void logRefusedBody(const std::string &request, std::size_t buffered)
{
    static thread_local LogRateLimiter limiter;
    if (const auto suppressed = limiter.take(monotonicNow())) {
        LogLine(LogLevel::Warning, "http-body-refused").with("request", printable(request)).with("buffered", buffered).with("left-out", *suppressed);
    }
}

std::string requestLine(const http::request<http::string_body> &message)
{
    return std::string(message.method_string()) + " " + std::string(message.target());
}

// Passes a parsed request to a handler, whose exceptions become an error response.
void dispatch(const http::request<http::string_body> &message, const HttpHandler &handler, HttpResponder::Write write)
{
    const HttpResponder responder(std::move(write), requestLine(message));
    responder.guard([&] {
        handler(toHttpRequest(message), responder);
    });
}

} // namespace

HttpResponder::HttpResponder(Write write, std::string request)
    : m_answer(std::make_shared<Answer>(Answer{std::move(write), std::move(request)}))
{
}

void HttpResponder::operator()(HttpResponse response) const noexcept
{
    if (!m_answer->write) {
        return;
    }
    try {
        m_answer->write(std::move(response));
        m_answer->write = nullptr;
    } catch (...) {
        fail();
    }
}

void HttpResponder::fail() const noexcept
{
    try {
        logFailedRequest(m_answer->request);
        if (const Write write = std::exchange(m_answer->write, nullptr)) {
            write({static_cast<unsigned>(http::status::internal_server_error), "application/json", R"({"error":"internal error"})"});
        }
    } catch (...) {
        // Memory is exhausted: the connection is closed without an answer, once the last copy of the responder is gone.
    }
}

// A server connection. Reads requests and writes responses in turn, and keeps itself alive through its handlers. It
// persists between requests, as opening a connection costs several times what a request does and targets send one
// about every second.
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
        leaveIdle();
        releaseBody();
        --m_connections->open;
    }

    // Reads the next request. After the first one the timeout is the shorter HttpIdleTimeout.
    void readRequest(std::chrono::seconds timeout = HttpTimeout)
    {
        m_parser.emplace();
        m_parser->body_limit(MaxHttpBody);
        m_stream.expires_after(timeout);
        http::async_read_header(m_stream, m_buffer, *m_parser, [self = shared_from_this()](beast::error_code error, std::size_t) {
            self->leaveIdle();
            if (error) {
                self->reject(error);
            } else if (!self->reserveBody()) {
                self->writeResponse(bodyRefusal());
            } else {
                self->readBody();
            }
        });
    }

    // Closes an idle connection; false if part of a request has arrived.
    bool closeIfIdle()
    {
        beast::error_code error;
        if (m_buffer.size() > 0 || m_stream.socket().available(error) > 0) {
            return false;
        }
        leaveIdle();
        m_stream.close();
        return true;
    }

private:
    void readBody()
    {
        http::async_read(m_stream, m_buffer, *m_parser, [self = shared_from_this()](beast::error_code error, std::size_t) {
            error ? self->reject(error) : self->handle();
        });
    }

    void reject(const beast::error_code &error)
    {
        if (std::optional<HttpResponse> response = rejection(error)) {
            writeResponse(std::move(*response));
        }
    }

    // Whether the body of the request may be read now.
    bool reserveBody()
    {
        const std::size_t size = reservedSize(*m_parser);
        if (size > MaxBufferedBodies - m_connections->bufferedBodies) {
            logRefusedBody(requestLine(m_parser->get()), m_connections->bufferedBodies);
            return false;
        }
        m_reservedBody = size;
        m_connections->bufferedBodies += size;
        return true;
    }

    void releaseBody()
    {
        m_connections->bufferedBodies -= std::exchange(m_reservedBody, 0);
    }

    void enterIdle()
    {
        releaseBody();
        m_connections->idle.push_back(this);
        m_idlePosition = std::prev(m_connections->idle.end());
        readRequest(HttpIdleTimeout);
    }

    void leaveIdle()
    {
        if (m_idlePosition) {
            m_connections->idle.erase(*std::exchange(m_idlePosition, std::nullopt));
        }
    }

    void handle()
    {
        dispatch(m_parser->get(), m_handler, [self = shared_from_this()](HttpResponse response) {
            self->writeResponse(std::move(response));
        });
    }

    void writeResponse(HttpResponse response)
    {
        m_response = toMessage(std::move(response), m_parser->get().keep_alive());
        m_stream.expires_after(HttpTimeout);
        http::async_write(m_stream, m_response, [self = shared_from_this()](beast::error_code error, std::size_t) {
            if (!error && self->m_response.keep_alive()) {
                return self->enterIdle();
            }
            beast::error_code ignored;
            self->m_stream.socket().shutdown(Tcp::socket::shutdown_send, ignored);
        });
    }

    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    std::optional<RequestParser> m_parser; // Parser of the current request.
    ResponseMessage m_response;
    const HttpHandler &m_handler;
    std::shared_ptr<HttpConnections> m_connections;
    std::size_t m_reservedBody = 0; // Included in HttpConnections::bufferedBodies.
    std::optional<std::list<HttpConnection *>::iterator> m_idlePosition; // Position in HttpConnections::idle while idle.
};

namespace {

// A client request: connects, writes the request, reads the response. Keeps itself alive through its handlers.
class ClientCall : public std::enable_shared_from_this<ClientCall>
{
public:
    ClientCall(boost::asio::io_context &io, const HttpRequest &request, HttpCallback done)
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
            self->m_done(error ? std::nullopt : std::optional(self->toHttpResponse()));
        });
    }

    HttpResponse toHttpResponse()
    {
        HttpResponse response;
        response.status = m_response.result_int();
        response.contentType = std::string(m_response[http::field::content_type]);
        response.location = std::string(m_response[http::field::location]);
        response.body = std::move(m_response.body());
        return response;
    }

    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    http::request<http::string_body> m_request;
    ResponseMessage m_response;
    HttpCallback m_done;
};

} // namespace

HttpServer::HttpServer(boost::asio::io_context &io, HttpHandler handler, std::size_t maxConnections)
    : m_acceptor(io)
    , m_handler(std::move(handler))
    , m_connections(std::make_shared<detail::HttpConnections>(detail::HttpConnections{maxConnections, 0, {}}))
{
}

std::size_t HttpServer::connections() const
{
    return m_connections->open;
}

std::size_t HttpServer::bufferedBodies() const
{
    return m_connections->bufferedBodies;
}

namespace {

// Closes an idle connection if the maximum is reached. Returns whether one more connection may be opened.
bool reserveConnection(detail::HttpConnections &connections)
{
    if (connections.open < connections.max) {
        return true;
    }
    for (detail::HttpConnection *connection : connections.idle) {
        if (connection->closeIfIdle()) {
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
        if (!error && reserveConnection(*m_connections)) {
            std::make_shared<detail::HttpConnection>(std::move(socket), m_handler, m_connections)->readRequest();
        }
        accept();
    });
}

void startHttpRequest(boost::asio::io_context &io, Endpoint endpoint, const HttpRequest &request, std::chrono::milliseconds timeout, HttpCallback done)
{
    std::make_shared<ClientCall>(io, request, std::move(done))->start(endpoint, timeout);
}

std::optional<HttpResponse> sendHttpRequest(Endpoint endpoint, const HttpRequest &request, std::chrono::milliseconds timeout)
{
    boost::asio::io_context io;
    std::optional<HttpResponse> response;
    startHttpRequest(io, endpoint, request, timeout, [&response](std::optional<HttpResponse> received) {
        response = std::move(received);
    });
    io.run();
    return response;
}

std::string handleHttpBytes(std::string_view bytes, const HttpHandler &handler)
{
    const auto sent = std::make_shared<std::string>();
    const auto write = [sent](const HttpResponse &response) {
        std::ostringstream text;
        text << toMessage(response, false);
        *sent = text.str();
    };
    RequestParser parser;
    parser.body_limit(MaxHttpBody);
    parser.eager(true);
    beast::error_code error;
    while (!error && !bytes.empty() && !parser.is_done()) {
        bytes.remove_prefix(parser.put(boost::asio::buffer(bytes.data(), bytes.size()), error));
    }
    if (!error && parser.is_done()) {
        dispatch(parser.get(), handler, write);
    } else if (error == http::error::need_more) {
        return {};
    } else if (const std::optional<HttpResponse> response = rejection(error)) {
        write(*response);
    }
    return *sent;
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

// SPDX-License-Identifier: MIT
// Shared by the stand-ins: request bodies, report files and an asynchronous UDP socket.
#pragma once

#include "codec.h"
#include "message.h"
#include "net.h"

#include <boost/asio/io_context.hpp>

#include <fstream>
#include <functional>
#include <string>

namespace Robinrail {

// Body of a request and of each part of its answer. It identifies the request, so that the reports of targets and callers
// can be compared.
struct StandinBody {
    std::uint32_t caller = 0;
    std::uint32_t number = 0;
    bool repeatable = false;
    std::uint16_t part = 0;

    auto fields()
    {
        return std::tie(caller, number, repeatable, part);
    }
};

inline Bytes encodeBody(const StandinBody &body)
{
    return encodeMessage(std::variant<StandinBody>(body));
}

inline std::optional<StandinBody> decodeBody(BytesView bytes)
{
    const auto body = decodeMessage<std::variant<StandinBody>>(bytes);
    return body ? std::optional(std::get<StandinBody>(*body)) : std::nullopt;
}

// Identifies a request in reports, as "caller/number".
inline std::string requestTag(const StandinBody &body)
{
    return std::to_string(body.caller) + "/" + std::to_string(body.number);
}

inline void writeReport(const std::string &path, const nlohmann::json &report)
{
    if (!path.empty()) {
        std::ofstream(path) << report.dump() << '\n';
    }
}

// A UDP socket that passes every received datagram to a callback.
class DatagramSocket
{
public:
    using ReceiveHandler = std::function<void(Endpoint from, BytesView bytes)>;

    DatagramSocket(boost::asio::io_context &io, Endpoint local, ReceiveHandler receive)
        : m_socket(io)
        , m_receive(std::move(receive))
    {
        constexpr int Buffer = 1 << 20;
        m_socket.open(boost::asio::ip::udp::v4());
        m_socket.set_option(boost::asio::socket_base::receive_buffer_size(Buffer));
        m_socket.bind(toUdpEndpoint(local));
        m_socket.non_blocking(true);
        waitReadable();
    }

    void send(Endpoint to, BytesView bytes)
    {
        boost::system::error_code ignored;
        m_socket.send_to(boost::asio::buffer(bytes.data(), bytes.size()), toUdpEndpoint(to), 0, ignored);
    }

    void send(Endpoint to, const Message &message)
    {
        send(to, BytesView(encodeMessage(message)));
    }

private:
    void waitReadable()
    {
        m_socket.async_wait(boost::asio::ip::udp::socket::wait_read, [this](const boost::system::error_code &error) {
            if (error) {
                return;
            }
            receivePending();
            waitReadable();
        });
    }

    void receivePending()
    {
        std::array<std::uint8_t, 2048> buffer{};
        for (;;) {
            boost::asio::ip::udp::endpoint from;
            boost::system::error_code error;
            const std::size_t size = m_socket.receive_from(boost::asio::buffer(buffer), from, 0, error);
            if (error == boost::asio::error::would_block) {
                return;
            }
            if (!error) {
                m_receive(fromUdpEndpoint(from), {buffer.data(), size});
            }
        }
    }

    boost::asio::ip::udp::socket m_socket;
    ReceiveHandler m_receive;
};

} // namespace Robinrail

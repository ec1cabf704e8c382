// SPDX-License-Identifier: MIT
// Packet loss: the drops of a receive queue from ancillary data, and the metrics of lost packets.
#include "packet_loss.h"
#include "receive_drops.h"

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <netinet/in.h>
#include <unistd.h>

#include <cerrno>

using namespace Robinrail;

// Guards against lost packets that no metric shows.
TEST_CASE("datagrams that a receive queue had no room for are counted with the next one")
{
    const int receiver = ::socket(AF_INET, SOCK_DGRAM, 0);
    const int sender = ::socket(AF_INET, SOCK_DGRAM, 0);
    REQUIRE(ReceiveDrops::enable(receiver));
    const int smallest = 1;
    ::setsockopt(receiver, SOL_SOCKET, SO_RCVBUF, &smallest, sizeof(smallest));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    REQUIRE(::bind(receiver, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0);
    REQUIRE(::getsockname(receiver, reinterpret_cast<sockaddr *>(&address), &length) == 0);
    std::uint64_t sent = 0;
    const auto send = [&](int count) {
        for (int i = 0; i < count; ++i) {
            sent += ::sendto(sender, "packet", 6, 0, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 6 ? 1 : 0;
        }
    };
    ReceiveDrops drops;
    std::uint64_t received = 0;
    std::uint64_t dropped = 0;
    const auto receiveAll = [&] {
        std::array<char, 16> bytes{};
        iovec part{bytes.data(), bytes.size()};
        ReceiveDrops::Buffer control{};
        msghdr message{};
        message.msg_iov = &part;
        message.msg_iovlen = 1;
        ReceiveDrops::prepare(message, control);
        while (::recvmsg(receiver, &message, MSG_DONTWAIT) >= 0) {
            ++received;
            dropped += drops.take(message);
            ReceiveDrops::prepare(message, control);
        }
    };
    for (int round = 0; round < 3; ++round) {
        send(100);
        receiveAll();
        send(1); // Carries the count of the drops before it.
        receiveAll();
        CHECK(dropped > 0);
        CHECK(received + dropped == sent);
    }
    ::close(receiver);
    ::close(sender);
}

TEST_CASE("packets that the kernel dropped before they were received or sent are in the metrics")
{
    PacketLoss loss;
    const TimePoint now(std::chrono::hours(1));
    loss.countReceiveDrops(now, 3);
    loss.countReceiveDrops(now, 4);
    loss.countSendFailure(now, ENOBUFS);
    PrometheusWriter text;
    loss.writeMetrics(text);
    CHECK(text.text().find("\nrobinrail_receive_drops_total 7\n") != std::string::npos);
    CHECK(text.text().find("\nrobinrail_send_failures_total 1\n") != std::string::npos);
}

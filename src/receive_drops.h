// SPDX-License-Identifier: MIT
// Receive drops: how many datagrams a socket's receive queue had no room for, from ancillary data (SO_RXQ_OVFL, Linux).
//
// The kernel attaches its count to the datagrams that are queued after a drop, so drops are known with the next datagram.
#pragma once

#include <array>
#include <cstdint>
#include <cstring>
#include <sys/socket.h>

namespace Robinrail {

class ReceiveDrops
{
public:
    // Space for the ancillary data of one message.
    struct alignas(cmsghdr) Buffer {
        std::array<std::uint8_t, CMSG_SPACE(sizeof(std::uint32_t))> bytes;
    };

    // Asks the kernel to attach the count; false if it can't.
    static bool enable(int socket)
    {
        const int on = 1;
        return ::setsockopt(socket, SOL_SOCKET, SO_RXQ_OVFL, &on, sizeof(on)) == 0;
    }

    // Prepares a message before it is received; the kernel overwrites the length.
    static void prepare(msghdr &message, Buffer &buffer)
    {
        message.msg_control = buffer.bytes.data();
        message.msg_controllen = buffer.bytes.size();
    }

    // Datagrams dropped since the last call, by the ancillary data of a received message. Messages are passed in order.
    std::uint32_t take(msghdr &message)
    {
        for (cmsghdr *part = CMSG_FIRSTHDR(&message); part != nullptr; part = CMSG_NXTHDR(&message, part)) {
            if (part->cmsg_level == SOL_SOCKET && part->cmsg_type == SO_RXQ_OVFL) {
                std::uint32_t count = 0;
                std::memcpy(&count, CMSG_DATA(part), sizeof(count));
                const std::uint32_t dropped = count - m_count; // The kernel's count wraps around.
                m_count = count;
                return dropped;
            }
        }
        return 0;
    }

private:
    std::uint32_t m_count = 0;
};

} // namespace Robinrail

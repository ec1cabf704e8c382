// SPDX-License-Identifier: MIT
// Datagram sockets and addresses of the stand-ins.
#pragma once

#include "loopback.h"

namespace Review {

inline std::uint32_t addressNumber(const std::string &ip)
{
    return ntohl(socketAddress(ip, 0).sin_addr.s_addr);
}

inline std::string addressText(std::uint32_t number)
{
    in_addr address{htonl(number)};
    char text[INET_ADDRSTRLEN];
    inet_ntop(AF_INET, &address, text, sizeof(text));
    return text;
}

class DatagramSocket
{
public:
    bool bind(const std::string &ip, int port)
    {
        m_handle = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = socketAddress(ip, port);
        return ::bind(m_handle, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0;
    }

    ~DatagramSocket()
    {
        if (m_handle >= 0) {
            ::close(m_handle);
        }
    }

    void send(const std::string &ip, int port, const std::string &bytes) const
    {
        const sockaddr_in address = socketAddress(ip, port);
        ::sendto(m_handle, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr *>(&address), sizeof(address));
    }

    // Waits for a datagram; empty if none came in time.
    std::string receive(int timeoutMs, std::string &from) const
    {
        pollfd ready{m_handle, POLLIN, 0};
        if (::poll(&ready, 1, timeoutMs) != 1) {
            return {};
        }
        char bytes[4096];
        sockaddr_in sender{};
        socklen_t size = sizeof(sender);
        const ssize_t count = ::recvfrom(m_handle, bytes, sizeof(bytes), 0, reinterpret_cast<sockaddr *>(&sender), &size);
        from = addressText(ntohl(sender.sin_addr.s_addr));
        return count > 0 ? std::string(bytes, static_cast<std::size_t>(count)) : std::string();
    }

private:
    int m_handle = -1;
};

} // namespace Review

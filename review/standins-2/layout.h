// SPDX-License-Identifier: MIT
// The small deployment of the cases: addresses, ports and the routing manifest. run.sh writes the settings of the same nodes.
#pragma once

#include "platform.h"

namespace Review {

inline constexpr std::uint16_t ControlPort = 8166;
inline constexpr std::uint16_t ReadinessPort = 8167;
inline constexpr std::uint16_t DatagramPort = 8172;
inline constexpr std::uint16_t HostPort = 8080;
inline constexpr std::size_t ControlNodes = 3;

class Layout
{
public:
    explicit Layout(unsigned network)
        : m_network(network)
    {
    }

    Address at(unsigned group, unsigned index, std::uint16_t port) const
    {
        return {127U << 24 | m_network << 16 | group << 8 | (10 + index), port};
    }

    std::vector<Address> control() const
    {
        std::vector<Address> nodes;
        for (unsigned i = 0; i < ControlNodes; ++i) {
            nodes.push_back(at(0, i, ControlPort));
        }
        return nodes;
    }

    std::vector<Router::Node> balancers(unsigned count) const
    {
        std::vector<Router::Node> nodes;
        for (unsigned i = 0; i < count; ++i) {
            nodes.push_back({at(1, i, ReadinessPort), at(1, i, DatagramPort)});
        }
        return nodes;
    }

    Address host(unsigned index) const
    {
        return at(2, index, HostPort);
    }

    Address requester(unsigned index) const
    {
        return at(3, index, DatagramPort);
    }

private:
    unsigned m_network;
};

inline const Address Route{198U << 24 | 18U << 16 | 1U, 8443};

// A manifest with one route, which leads to `service`.
inline std::string manifest(int version, const std::string &service)
{
    char text[1024];
    std::snprintf(text,
                  sizeof text,
                  R"({"version":%d,"routes":[{"name":"r-1","host":"198.18.0.1","path_prefix":"/8443/","type":"non_idempotent",)"
                  R"("timeout_ms":1500,"target_latency_ms":250,"priority":1,"service":"%s","attempts":2}],"services":[)"
                  R"({"name":"rate-desk","health_path":"/healthz","max_conns":2000,"protocol":"h1","tls":false},)"
                  R"({"name":"doc-vault","health_path":"/healthz","max_conns":2000,"protocol":"h1","tls":false}],)"
                  R"("limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}})",
                  version,
                  service.c_str());
    return text;
}

// Waits until a condition holds; false after `limitMs`.
inline bool waitUntil(long long limitMs, const std::function<bool()> &condition)
{
    const long long start = elapsedMs();
    while (!condition()) {
        if (elapsedMs() - start > limitMs) {
            return false;
        }
        sleepMs(20);
    }
    return true;
}

} // namespace Review

// SPDX-License-Identifier: MIT
// Net: conversions between the library's types and Boost.Asio's, and the daemons' clock.
#pragma once

#include "types.h"

#include <boost/asio/ip/udp.hpp>

namespace Robinrail {

inline boost::asio::ip::udp::endpoint toUdpEndpoint(Endpoint endpoint)
{
    return {boost::asio::ip::address_v4(endpoint.address), endpoint.port};
}

inline Endpoint fromUdpEndpoint(const boost::asio::ip::udp::endpoint &endpoint)
{
    return {static_cast<std::uint32_t>(endpoint.address().to_v4().to_uint()), endpoint.port()};
}

// The monotonic clock as the library wants it.
inline TimePoint monotonicNow()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

} // namespace Robinrail

// SPDX-License-Identifier: MIT
// Net: conversions between Endpoint and the endpoints of Boost.Asio, and the clock of the daemons.
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

// The monotonic clock, in the resolution of TimePoint.
inline TimePoint monotonicNow()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

} // namespace Robinrail

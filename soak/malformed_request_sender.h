// SPDX-License-Identifier: MIT
// Malformed request sender: sends unreadable bytes to each HTTP listener of the programs: the control API and the link port of the
// replicas, and the readiness port of the balancers. No such request may be accepted, and none may end a process.
#pragma once

#include "soak_types.h"

#include <string>

namespace Robinrail::Soak {

// A request with unreadable bytes in its path, its headers or its body, with over-long headers or an incomplete end, or random
// bytes. It asks for a change only if its body can't be decoded.
std::string malformedRequest(Random &random);

class MalformedRequestSender
{
public:
    MalformedRequestSender(boost::asio::io_context &io, const Topology &topology, std::uint64_t seed);

    // Sends the next request if it is due.
    void tick(TimePoint now);

    std::size_t sentRequests() const;

private:
    boost::asio::io_context &m_io;
    std::vector<Endpoint> m_listeners;
    Random m_random;
    TimePoint m_nextRequestAt;
    std::size_t m_sentRequests = 0;
};

} // namespace Robinrail::Soak

// SPDX-License-Identifier: MIT
// Caller crowd: stand-in callers that open flows, keep them for some requests, and check every answer.
#pragma once

#include "fabric.h"
#include "target_fleet.h"

namespace Robinrail::Soak {

class CallerCrowd
{
public:
    CallerCrowd(boost::asio::io_context &io, const Plan &plan, const TargetFleet &fleet, Promises &promises, std::uint64_t seed);

    void tick(TimePoint now);

    // Requests that began in the last two seconds but the very last one, and the share of these that were
    // answered.
    double servedOfLate(TimePoint now) const;

    std::size_t served() const;
    std::size_t servedOnChangingRoute() const;
    std::size_t failed() const;
    Fabric &fabric();

private:
    struct Caller {
        bool open = false;
        bool closed = true; // No flow: the next one begins when it is due.
        FlowKey flow;
        FlowToken token{};
        int copies = 0;
        std::uint32_t next = 0; // Own next sequence number.
        std::uint32_t expected = 0; // The target's next sequence number.
        std::optional<RequestText> request;
        std::string answer;
        Bytes unacknowledged; // The request's packet.
        TimePoint began; // Of the request; of the flow while it opens.
        TimePoint due; // Of sending again, or of the next request.
        Duration wait{}; // Before it is sent again.
        int left = 0; // Requests to come on this flow.
    };
    struct Outcome {
        TimePoint began;
        bool served = false;
    };

    void receive(BytesView datagram, Endpoint from);
    void beginFlow(TimePoint now, Caller &caller);
    void sendOpening(TimePoint now, Caller &caller);
    void beginRequest(TimePoint now, Caller &caller);
    void answered(TimePoint now, Caller &caller, const Platform::WirePacket &packet);
    void take(TimePoint now, Caller &caller);
    void resetBy(TimePoint now, Caller &caller, Endpoint sender);
    void end(TimePoint now, Caller &caller, bool served);
    void acknowledge(TimePoint now, const Caller &caller, bool closing);
    void send(TimePoint now, const Caller &caller, const Platform::WirePacket &packet);
    void serve(TimePoint now, Caller &caller);

    Plan m_plan;
    const TargetFleet &m_fleet;
    Promises &m_promises;
    Random m_random;
    Fabric m_fabric;
    std::vector<Caller> m_callers;
    std::map<std::uint16_t, std::size_t> m_ports; // Of the present flows, to their callers.
    std::uint16_t m_lastPort = 1024;
    std::uint64_t m_lastRequest = 0;
    std::deque<Outcome> m_outcomes;
    std::size_t m_served = 0;
    std::size_t m_servedOnChangingRoute = 0;
    std::size_t m_failed = 0;
};

} // namespace Robinrail::Soak

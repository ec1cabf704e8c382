// SPDX-License-Identifier: MIT
// Caller crowd: stand-in callers that open flows, keep them for some requests, and check every answer.
#pragma once

#include "fabric.h"
#include "target_fleet.h"

namespace Robinrail::Soak {

class CallerSimulator
{
public:
    CallerSimulator(boost::asio::io_context &io, const Topology &topology, const TargetSimulator &targets, Violations &violations, std::uint64_t seed);

    void tick(TimePoint now);

    // Requests that began in the last two seconds but the very last one, and the share of these that were
    // answered.
    double recentSuccessRate(TimePoint now) const;

    std::size_t completedRequests() const;
    std::size_t completedOnChangingRoute() const;
    std::size_t failedRequests() const;
    Fabric &fabric();

private:
    struct Caller {
        bool open = false;
        bool idle = true; // No flow: the next one begins when it is due.
        FlowKey flow;
        FlowToken token{};
        int openingsSent = 0;
        std::uint32_t nextSequence = 0; // Own next sequence number.
        std::uint32_t expectedSequence = 0; // The target's next sequence number.
        std::optional<TargetRequest> request;
        std::string answer;
        Bytes unacknowledged; // The request's packet.
        TimePoint startedAt; // Of the request; of the flow while it opens.
        TimePoint nextActionAt; // Of sending again, or of the next request.
        Duration resendDelay{}; // Before it is sent again.
        int requestsLeft = 0; // Requests to come on this flow.
    };
    struct Outcome {
        TimePoint startedAt;
        bool succeeded = false;
    };

    void receive(BytesView datagram, Endpoint from);
    void beginFlow(TimePoint now, Caller &caller);
    void sendOpening(TimePoint now, Caller &caller);
    void beginRequest(TimePoint now, Caller &caller);
    void handleAnswerData(TimePoint now, Caller &caller, const Platform::WirePacket &packet);
    void completeRequest(TimePoint now, Caller &caller);
    void handleReset(TimePoint now, Caller &caller, Endpoint sender);
    void endFlow(TimePoint now, Caller &caller, bool succeeded);
    void acknowledge(TimePoint now, const Caller &caller, bool closing);
    void send(TimePoint now, const Caller &caller, const Platform::WirePacket &packet);
    void advance(TimePoint now, Caller &caller);

    Topology m_topology;
    const TargetSimulator &m_targets;
    Violations &m_violations;
    Random m_random;
    Fabric m_fabric;
    std::vector<Caller> m_callers;
    std::map<std::uint16_t, std::size_t> m_callerByPort; // Of the present flows, to their callers.
    std::uint16_t m_lastPort = 1024;
    std::uint64_t m_lastRequest = 0;
    std::deque<Outcome> m_outcomes;
    std::size_t m_completedRequests = 0;
    std::size_t m_completedOnChangingRoute = 0;
    std::size_t m_failedRequests = 0;
};

} // namespace Robinrail::Soak

// SPDX-License-Identifier: MIT
// Caller simulator: simulated callers that open flows, send several requests on each, and check every answer.
#pragma once

#include "fabric.h"
#include "target_simulator.h"

namespace Robinrail::Soak {

class CallerSimulator
{
public:
    // Largest factor by which callers multiply their rate.
    static constexpr std::size_t MaxRateFactor = 8;

    CallerSimulator(boost::asio::io_context &io,
                    const Topology &topology,
                    const TargetSimulator &targets,
                    AdmissionOrderChecker &admissionOrder,
                    Violations &violations,
                    std::uint64_t seed);

    void tick(TimePoint now);

    // Makes callers open flows this many times as often as usual. Needs a run with overload.
    void setRateFactor(std::size_t factor);

    // The share of requests answered within `maxTime` among those that started between OutcomeMinAge + OutcomeWindow and
    // OutcomeMinAge ago; 0 if there were none.
    double recentSuccessRate(TimePoint now, Duration maxTime = Duration::max()) const;

    // Requests that recentSuccessRate() counts: old enough to have been answered or to have timed out, but not much older.
    static constexpr Duration OutcomeMinAge = milliseconds(3500);
    static constexpr Duration OutcomeWindow = milliseconds(2000);

    std::size_t completedRequests() const;
    std::size_t completedOnChangingRoute() const;
    std::size_t failedRequests() const;
    std::size_t refusedFlows() const; // Reset by a balancer before they were open.
    Fabric &fabric();

private:
    struct Caller {
        bool open = false;
        bool idle = true; // Has no flow; opens the next one at nextActionAt.
        FlowKey flow;
        FlowToken token{};
        int openingsSent = 0;
        std::uint32_t nextSequence = 0; // Of the next byte to send.
        std::uint32_t expectedSequence = 0; // Of the next byte from the target.
        std::optional<TargetRequest> request;
        std::string answer;
        Bytes unacknowledged; // The packet of the request, to be resent.
        TimePoint startedAt; // Of the request, or of the flow while it is being opened.
        TimePoint nextActionAt; // When to resend, or to begin the next request or flow.
        Duration resendDelay{};
        int requestsLeft = 0; // On this flow.
    };
    struct Outcome {
        TimePoint startedAt;
        bool succeeded = false;
        Duration took{};
    };

    void receive(BytesView datagram, Endpoint from);
    void beginFlow(TimePoint now, Caller &caller);
    void sendOpening(TimePoint now, Caller &caller);
    void beginRequest(TimePoint now, Caller &caller);
    void handleAnswerData(TimePoint now, Caller &caller, const Platform::WirePacket &packet);
    void completeRequest(TimePoint now, Caller &caller);
    void handleReset(TimePoint now, Caller &caller, Endpoint sender);
    void checkRefusal(TimePoint now, const Caller &caller, std::uint32_t balancer);
    void endFlow(TimePoint now, Caller &caller, bool succeeded);
    void acknowledge(TimePoint now, const Caller &caller, bool closing);
    void send(TimePoint now, const Caller &caller, const Platform::WirePacket &packet);
    void advance(TimePoint now, Caller &caller);

    Topology m_topology;
    const TargetSimulator &m_targets;
    AdmissionOrderChecker &m_admissionOrder;
    Violations &m_violations;
    Random m_random;
    Fabric m_fabric;
    std::vector<Caller> m_callers;
    std::size_t m_activeCallers; // The first ones; the others open no new flows.
    std::map<std::uint16_t, std::size_t> m_callerByPort; // Index of the caller by the source port of its current flow.
    std::uint16_t m_lastPort = 1024;
    std::uint64_t m_lastRequest = 0;
    std::deque<Outcome> m_outcomes;
    std::size_t m_completedRequests = 0;
    std::size_t m_completedOnChangingRoute = 0;
    std::size_t m_failedRequests = 0;
    std::size_t m_refusedFlows = 0;
};

} // namespace Robinrail::Soak

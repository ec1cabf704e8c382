// SPDX-License-Identifier: MIT
// Target simulator: simulated targets that announce themselves, answer requests on flows, drain, crash and restart.
#pragma once

#include "admission_order_checker.h"
#include "http.h"
#include "slot_schedule.h"
#include "soak_types.h"
#include "standin_common.h"
#include "standin_wire.h"

#include <deque>
#include <memory>
#include <optional>
#include <set>

namespace Robinrail::Soak {

// A request, sent as "number repeatable". Its answer is "number service" followed by filler, or by "503" if it was not processed, as
// all slots and the queue are full.
struct TargetRequest {
    std::uint64_t number = 0;
    bool repeatable = false;
};
std::string formatRequest(const TargetRequest &request);
std::optional<TargetRequest> parseRequest(BytesView bytes);
std::string formatAnswer(std::uint64_t number, const std::string &service, std::size_t bytes);
std::string formatRejection(std::uint64_t number, const std::string &service);

class TargetSimulator
{
public:
    TargetSimulator(boost::asio::io_context &io,
                    const Topology &topology,
                    const FaultTracker &faults,
                    AdmissionOrderChecker &admissionOrder,
                    Violations &violations,
                    std::uint64_t seed);

    void tick(TimePoint now);

    // Faults of a randomly chosen target: it ends without deregistering and a new one starts at its address after `downtime`; or
    // it drains, deregisters and is replaced.
    void crash(TimePoint now, milliseconds downtime);
    void drain(TimePoint now);

    // Like a crash, but the new target has the key of the previous one, and its counters restart from zero.
    void restart(TimePoint now, milliseconds downtime);

    // A randomly chosen target answers opening packets after `delay` until `until`.
    void answerLate(TimePoint until, milliseconds delay);

    // A randomly chosen target takes `slowness` times as long for each request until `until`.
    void slowDown(TimePoint until, int slowness);

    // Whether the flow is open at a running target.
    bool isFlowOpen(const FlowKey &flow) const;

    // Whether the first copy of the flow's opening packet has reached a running target.
    bool hasSeenFirstCopy(const FlowKey &flow) const;

    // Whether a target with this key has run for at least `age`.
    bool hasRunFor(TimePoint now, TargetKey key, Duration age) const;

    // Whether all targets run and none drains, is slow or answers late.
    bool faultFree(TimePoint now) const;

    bool isTargetAddress(Endpoint sender) const;

    // From ApplyDeadline after this time, balancers without a recent fault must open no new flow on the changing route or to the
    // drained data centre.
    void setRouteRemovedSince(std::optional<TimePoint> since);
    void setDrainedSince(std::optional<TimePoint> since);

    std::size_t executedRequests() const;
    std::size_t rejectedRequests() const; // With 503.

private:
    static constexpr std::uint32_t SlotsUnderOverload = 2;
    static constexpr std::size_t QueueLength = 4;

    struct Flow {
        FlowToken token{};
        std::uint32_t firstSequence = 0; // Of the answer to the opening packet.
        std::uint32_t nextSequence = 0; // Of the next byte to send.
        std::uint32_t expectedSequence = 0; // Of the next byte from the caller.
        bool open = false;
        bool seenFirstCopy = false;
        std::uint32_t acknowledged = 0;
        Bytes unacknowledged; // Bytes of the answer from `acknowledged` on.
        std::optional<std::string> pendingAnswer; // Sent at nextActionAt, to simulate processing time.
        TimePoint nextActionAt; // When to send or to resend the answer.
        int resends = 0;
    };
    using FlowMap = std::map<std::pair<Endpoint, Endpoint>, Flow>;
    // An answer to an opening packet that is sent late.
    struct LateAnswer {
        TimePoint sendAt;
        Endpoint to;
        Bytes packet;
    };
    struct Target {
        TargetRecord record;
        std::size_t host = 0;
        FlowMap flows;
        TimePoint nextAnnounceAt;
        std::size_t replica = 0; // Receives the next announcement.
        bool callPending = false;
        std::optional<TimePoint> drainConfirmedAt;
        TimePoint leaveAt; // While draining.
        TimePoint lateUntil; // Until then opening packets are answered after openingDelay.
        milliseconds openingDelay{};
        std::vector<LateAnswer> lateAnswers;
        TimePoint startedAt;
        SlotSchedule slots{SlotsUnderOverload, QueueLength}; // In runs with overload.
        TimePoint slowUntil; // Until then requests take `slowness` times as long.
        int slowness = 1;
    };
    // An address at which targets run one after the other.
    struct Host {
        std::unique_ptr<DatagramSocket> socket;
        std::optional<Target> target;
        std::unique_ptr<HttpServer> health; // Accepts connections as long as a target runs here, as on the platform.
        TimePoint nextStartAt; // When the next target starts.
        std::optional<TargetLifetime> previous; // The next target takes over its key.
    };

    void startTarget(TimePoint now, std::size_t host);
    static void stopTarget(Host &host);
    void announce(TimePoint now, Host &host);
    void handleAnnounceReply(TargetLifetime lifetime, std::size_t host, TargetPhase phase, bool accepted);
    void leave(TimePoint now, Host &host);
    void receive(std::size_t host, Endpoint from, BytesView datagram);
    void handleOpening(TimePoint now, Host &host, const Platform::WirePacket &packet, Endpoint balancer);
    void handleFlowPacket(TimePoint now, Host &host, const Platform::WirePacket &packet);
    void execute(TimePoint now, Target &target, Flow &flow, const TargetRequest &request);
    // When a request that arrives now will be processed; empty if the target is full.
    std::optional<TimePoint> scheduleWork(TimePoint now, Target &target);
    template<typename Predicate>
    bool anyHasFlow(const FlowKey &flow, Predicate holds) const;
    void transmit(TimePoint now, Host &host, const FlowMap::key_type &key, Flow &flow);
    void advanceFlows(TimePoint now, Host &host);
    static void sendLateAnswers(TimePoint now, Host &host);
    void reply(Host &host, const Platform::WirePacket &packet);
    // Whether the balancer must know the current routes, targets and drains.
    bool isExpectedCurrent(TimePoint now, std::uint32_t balancer) const;
    void checkOpening(TimePoint now, const Target &target, const Platform::WirePacket &packet, std::uint32_t balancer);

    boost::asio::io_context &m_io;
    Topology m_topology;
    const FaultTracker &m_faults;
    AdmissionOrderChecker &m_admissionOrder;
    Violations &m_violations;
    Random m_random;
    std::vector<Host> m_hosts;
    std::set<std::uint64_t> m_executedOnce; // Non-repeatable requests that were executed.
    std::optional<TimePoint> m_routeRemovedSince;
    std::optional<TimePoint> m_drainedSince;
    std::size_t m_executedRequests = 0;
    std::size_t m_rejectedRequests = 0;
};

} // namespace Robinrail::Soak

// SPDX-License-Identifier: MIT
// Target fleet: stand-in targets that announce themselves, answer requests on flows, drain, crash and come back.
#pragma once

#include "http.h"
#include "soak_types.h"
#include "standin_common.h"
#include "standin_wire.h"

#include <deque>
#include <memory>
#include <optional>
#include <set>

namespace Robinrail::Soak {

// What a request says, and its answer: "number repeatable" and "number service" with filler behind it.
struct TargetRequest {
    std::uint64_t number = 0;
    bool repeatable = false;
};
std::string formatRequest(const TargetRequest &request);
std::optional<TargetRequest> parseRequest(BytesView bytes);
std::string formatAnswer(std::uint64_t number, const std::string &service, std::size_t bytes);

class TargetSimulator
{
public:
    TargetSimulator(boost::asio::io_context &io, const Topology &topology, const FaultTracker &faults, Violations &violations, std::uint64_t seed);

    void tick(TimePoint now);

    // Troubles, each of a target drawn by lot: it ends without a word and another lifetime begins at its
    // address after a pause; or it drains, leaves and is replaced.
    void crash(TimePoint now, milliseconds downtime);
    void drain(TimePoint now);

    // The same as a crash, but the next lifetime has the key of the former one, and its counts begin anew.
    void restart(TimePoint now, milliseconds downtime);

    // The lifetime at which a flow opened, if that one still runs.
    bool isFlowOpen(const FlowKey &flow) const;

    bool isTargetAddress(Endpoint sender) const;

    // From this time on the changing route must not be there, and the drained data centre get no new flow, as far as nodes
    // out of trouble are concerned.
    void setRouteRemovedSince(std::optional<TimePoint> since);
    void setDrainedSince(std::optional<TimePoint> since);

    std::size_t executedRequests() const;

private:
    struct Flow {
        FlowToken token{};
        std::uint32_t firstSequence = 0; // Own first sequence number.
        std::uint32_t nextSequence = 0; // Own next sequence number.
        std::uint32_t expectedSequence = 0; // The caller's next sequence number.
        bool open = false;
        std::uint32_t acknowledged = 0;
        Bytes unacknowledged; // The answer's bytes from `acknowledged` on.
        std::optional<std::string> pendingAnswer; // An answer that is being made.
        TimePoint nextActionAt; // Of the answer, or of sending it again.
        int resends = 0;
    };
    using FlowMap = std::map<std::pair<Endpoint, Endpoint>, Flow>;
    struct Target {
        TargetRecord record;
        std::size_t host = 0;
        FlowMap flows;
        TimePoint nextAnnounceAt;
        std::size_t replica = 0; // The one that is called next.
        bool callPending = false;
        std::optional<TimePoint> drainConfirmedAt;
        TimePoint leaveAt; // Once its drain was confirmed.
    };
    struct Host {
        std::unique_ptr<DatagramSocket> socket;
        std::optional<Target> target;
        std::unique_ptr<HttpServer> health; // Takes connections as long as a lifetime runs here, as on the platform.
        TimePoint nextStartAt; // When the next lifetime begins.
        std::optional<TargetLifetime> previous; // Of which the next one takes the key.
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
    void transmit(TimePoint now, Host &host, const FlowMap::key_type &key, Flow &flow);
    void advanceFlows(TimePoint now, Host &host);
    void reply(Host &host, const Platform::WirePacket &packet);
    bool isExpectedCurrent(TimePoint now, std::uint32_t balancer) const;
    void checkOpening(TimePoint now, const Target &target, const Platform::WirePacket &packet, std::uint32_t balancer);

    boost::asio::io_context &m_io;
    Topology m_topology;
    const FaultTracker &m_faults;
    Violations &m_violations;
    Random m_random;
    std::vector<Host> m_hosts;
    std::set<std::uint64_t> m_executedOnce; // Requests that must not run again.
    std::optional<TimePoint> m_routeRemovedSince;
    std::optional<TimePoint> m_drainedSince;
    std::size_t m_executedRequests = 0;
};

} // namespace Robinrail::Soak

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
struct RequestText {
    std::uint64_t number = 0;
    bool repeatable = false;
};
std::string writeRequest(const RequestText &request);
std::optional<RequestText> readRequest(BytesView bytes);
std::string writeAnswer(std::uint64_t number, const std::string &service, std::size_t bytes);

class TargetFleet
{
public:
    TargetFleet(boost::asio::io_context &io, const Plan &plan, const Trouble &trouble, Promises &promises, std::uint64_t seed);

    void tick(TimePoint now);

    // Troubles, each of a target drawn by lot: it ends without a word and another lifetime begins at its
    // address after a pause; or it drains, leaves and is replaced.
    void crash(TimePoint now, milliseconds pause);
    void drain(TimePoint now);

    // The same as a crash, but the next lifetime has the key of the former one, and its counts begin anew.
    void restart(TimePoint now, milliseconds pause);

    // The lifetime at which a flow opened, if that one still runs.
    bool openAtLiveTarget(const FlowKey &flow) const;

    bool isTarget(Endpoint sender) const;

    // From this time on the changing route must not be there, and the drained data centre get no new flow, as far as nodes
    // out of trouble are concerned.
    void setRouteGone(std::optional<TimePoint> since);
    void setDrained(std::optional<TimePoint> since);

    std::size_t runs() const;

private:
    struct Flow {
        FlowToken token{};
        std::uint32_t first = 0; // Own first sequence number.
        std::uint32_t sent = 0; // Own next sequence number.
        std::uint32_t expected = 0; // The caller's next sequence number.
        bool open = false;
        std::uint32_t acknowledged = 0;
        Bytes unsent; // The answer's bytes from `acknowledged` on.
        std::optional<std::string> working; // An answer that is being made.
        TimePoint due; // Of the answer, or of sending it again.
        int tries = 0;
    };
    using FlowMap = std::map<std::pair<Endpoint, Endpoint>, Flow>;
    struct Target {
        TargetRecord record;
        std::size_t place = 0;
        FlowMap flows;
        TimePoint announceDue;
        std::size_t replica = 0; // The one that is called next.
        bool calling = false;
        std::optional<TimePoint> drainConfirmed;
        TimePoint leaveDue; // Once its drain was confirmed.
    };
    struct Place {
        std::unique_ptr<DatagramSocket> socket;
        std::optional<Target> target;
        std::unique_ptr<HttpServer> health; // Takes connections as long as a lifetime runs here, as on the platform.
        TimePoint nextDue; // When the next lifetime begins.
        std::optional<TargetLifetime> former; // Of which the next one takes the key.
    };

    void begin(TimePoint now, std::size_t place);
    static void end(Place &place);
    void announce(TimePoint now, Place &place);
    void announced(TargetLifetime lifetime, std::size_t place, TargetPhase phase, bool taken);
    void leave(TimePoint now, Place &place);
    void receive(std::size_t place, Endpoint from, BytesView datagram);
    void opening(TimePoint now, Place &place, const Platform::WirePacket &packet, Endpoint balancer);
    void later(TimePoint now, Place &place, const Platform::WirePacket &packet);
    void run(TimePoint now, Target &target, Flow &flow, const RequestText &request);
    void transmit(TimePoint now, Place &place, const FlowMap::key_type &key, Flow &flow);
    void serveFlows(TimePoint now, Place &place);
    void reply(Place &place, const Platform::WirePacket &packet);
    bool inTouch(TimePoint now, std::uint32_t balancer) const;
    void checkOpening(TimePoint now, const Target &target, const Platform::WirePacket &packet, std::uint32_t balancer);

    boost::asio::io_context &m_io;
    Plan m_plan;
    const Trouble &m_trouble;
    Promises &m_promises;
    Random m_random;
    std::vector<Place> m_places;
    std::set<std::uint64_t> m_ranOnce; // Requests that must not run again.
    std::optional<TimePoint> m_routeGone;
    std::optional<TimePoint> m_drained;
    std::size_t m_runs = 0;
};

} // namespace Robinrail::Soak

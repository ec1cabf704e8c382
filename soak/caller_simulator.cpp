// SPDX-License-Identifier: MIT
// Caller simulator: implementation.
#include "caller_simulator.h"

#include "log.h"
#include "settings.h"

#include <sstream>

namespace Robinrail::Soak {

using Platform::WirePacket;

namespace {

// Times after the first opening packet: at all but the last one a copy is sent, and at the last one the attempt fails.
constexpr std::array<Duration, 3> OpeningTimeouts = {milliseconds(200), milliseconds(600), milliseconds(1400)};

// Unacknowledged data is resent after a delay that doubles from the first to the maximum.
constexpr Duration FirstResendDelay = milliseconds(200);
constexpr Duration MaxResendDelay = milliseconds(1600);

// A request that is not fully answered within this time has failed.
constexpr Duration RequestTimeout = milliseconds(3000);

// Limits for the number of requests per flow and the idle time between them, and probabilities of each kind of request and route.
constexpr std::size_t MaxRequests = 8;
constexpr milliseconds MaxIdleTime{400};
constexpr double RepeatableProbability = 0.7;
constexpr double SecondRouteProbability = 0.3;
constexpr double ChangingRouteProbability = 0.2;

// Runs with overload: shorter flows, since admission control limits new ones only, and the share of less urgent flows.
constexpr std::size_t MaxRequestsUnderOverload = 3;
constexpr double BulkProbability = 0.3;

// Source ports of flows, assigned in turn, so that none is reused during the lifetime of a flow.
constexpr std::uint16_t FirstPort = 1024;
constexpr std::uint16_t LastPort = 60000;

} // namespace

CallerSimulator::CallerSimulator(boost::asio::io_context &io,
                                 const Topology &topology,
                                 const TargetSimulator &targets,
                                 AdmissionOrderChecker &admissionOrder,
                                 Violations &violations,
                                 std::uint64_t seed)
    : m_topology(topology)
    , m_targets(targets)
    , m_admissionOrder(admissionOrder)
    , m_violations(violations)
    , m_random(seed)
    , m_fabric(io,
               topology,
               seed + 1,
               [this](Endpoint from, BytesView datagram) {
                   receive(datagram, from);
               })
    , m_callers(topology.overload ? topology.callers * MaxRateFactor : topology.callers)
    , m_activeCallers(topology.callers)
{
}

// ---- Sending ----

void CallerSimulator::send(TimePoint now, const Caller &caller, const WirePacket &packet)
{
    m_fabric.send(now, caller.flow.caller.port, Platform::encodePacket(packet));
}

void CallerSimulator::beginFlow(TimePoint now, Caller &caller)
{
    m_lastPort = m_lastPort == LastPort ? FirstPort : static_cast<std::uint16_t>(m_lastPort + 1);
    const auto index = static_cast<std::size_t>(&caller - m_callers.data());
    const bool useChangingRoute = chance(m_random, ChangingRouteProbability);
    const Endpoint fixedRoute = chance(m_random, SecondRouteProbability) ? SecondRoute : FirstRoute;
    caller = {};
    caller.idle = false;
    caller.flow = {{m_topology.caller(index), m_lastPort}, useChangingRoute ? ChangingRoute : fixedRoute};
    caller.nextSequence = static_cast<std::uint32_t>(m_random());
    caller.requestsLeft = static_cast<int>(1 + uniformIndex(m_random, m_topology.overload ? MaxRequestsUnderOverload : MaxRequests));
    if (m_topology.overload && caller.flow.route == FirstRoute && chance(m_random, BulkProbability)) {
        caller.flow.route = BulkRoute;
    }
    caller.startedAt = now;
    m_callerByPort[m_lastPort] = index;
    sendOpening(now, caller);
}

void CallerSimulator::sendOpening(TimePoint now, Caller &caller)
{
    const auto copy = static_cast<std::uint32_t>(caller.openingsSent);
    caller.nextActionAt = caller.startedAt + OpeningTimeouts.at(copy);
    ++caller.openingsSent;
    send(now, caller, {caller.flow.caller, caller.flow.route, FlowToken{0}, caller.nextSequence, copy, true, false, false, false, {}});
}

void CallerSimulator::beginRequest(TimePoint now, Caller &caller)
{
    caller.request = {++m_lastRequest, chance(m_random, RepeatableProbability)};
    caller.answer.clear();
    caller.startedAt = now;
    caller.resendDelay = FirstResendDelay;
    caller.nextActionAt = now + caller.resendDelay;
    --caller.requestsLeft;
    const std::string text = formatRequest(*caller.request);
    const Bytes data(text.begin(), text.end());
    caller.unacknowledged = Platform::encodePacket(
        {caller.flow.caller, caller.flow.route, caller.token, caller.nextSequence, caller.expectedSequence, false, true, false, false, data});
    caller.nextSequence += static_cast<std::uint32_t>(data.size());
    m_fabric.send(now, caller.flow.caller.port, caller.unacknowledged);
}

void CallerSimulator::acknowledge(TimePoint now, const Caller &caller, bool closing)
{
    send(now, caller, {caller.flow.caller, caller.flow.route, caller.token, caller.nextSequence, caller.expectedSequence, false, true, closing, false, {}});
}

// ---- Receiving ----

void CallerSimulator::receive(BytesView datagram, Endpoint from)
{
    const TimePoint now = monotonicNow();
    const std::optional<WirePacket> packet = Platform::decodePacket(datagram);
    if (!packet) {
        return m_violations.report("packets are delivered intact", "unreadable packet at a caller from " + toText(from));
    }
    const auto at = m_callerByPort.find(packet->to.port);
    if (at == m_callerByPort.end()) {
        return;
    }
    Caller &caller = m_callers[at->second];
    if (packet->from != caller.flow.route) {
        return m_violations.report("answers belong to their flow", toText(packet->from) + " on " + toText(caller.flow.caller));
    }
    if (packet->reset) {
        return handleReset(now, caller, from);
    }
    if (packet->opening) {
        caller.token = packet->token;
        if (!caller.open && packet->acknowledged == caller.nextSequence + 1) {
            caller.open = true;
            caller.nextSequence += 1;
            caller.expectedSequence = packet->sequence + 1;
            beginRequest(now, caller);
        }
        return;
    }
    if (caller.open) {
        caller.token = packet->token;
        handleAnswerData(now, caller, *packet);
    }
}

void CallerSimulator::handleReset(TimePoint now, Caller &caller, Endpoint sender)
{
    const bool routeMayChange = caller.flow.route == ChangingRoute;
    if (caller.open && !routeMayChange && m_targets.isFlowOpen(caller.flow)) {
        m_violations.report("an open flow is kept as long as its target lives",
                            toText(caller.flow.caller) + " to " + toText(caller.flow.route) + " reset by " + toText(sender)
                                + (m_targets.isTargetAddress(sender) ? ", another target" : ", a balancer"));
    }
    if (!caller.open && !routeMayChange && !m_targets.isTargetAddress(sender)) {
        checkRefusal(now, caller, sender.address);
    }
    endFlow(now, caller, false);
}

// A flow whose first copy has reached a target may have opened there, and must not be refused. Later copies are no evidence: one
// may have been sent before the reset that refused the first copy arrived.
void CallerSimulator::checkRefusal(TimePoint now, const Caller &caller, std::uint32_t balancer)
{
    ++m_refusedFlows;
    m_admissionOrder.recordRefusal(now, balancer, caller.flow.route);
    if (m_targets.hasSeenFirstCopy(caller.flow)) {
        m_violations.report("a refused flow has not reached a target", toText(caller.flow.caller) + " to " + toText(caller.flow.route));
    }
}

void CallerSimulator::handleAnswerData(TimePoint now, Caller &caller, const WirePacket &packet)
{
    if (packet.data.empty()) {
        return;
    }
    if (packet.sequence == caller.expectedSequence) {
        caller.answer.append(packet.data.begin(), packet.data.end());
        caller.expectedSequence += static_cast<std::uint32_t>(packet.data.size());
        caller.unacknowledged.clear();
    }
    acknowledge(now, caller, false);
    if (caller.request && caller.answer.ends_with('\n')) {
        completeRequest(now, caller);
    }
}

void CallerSimulator::completeRequest(TimePoint now, Caller &caller)
{
    std::istringstream text(caller.answer);
    std::uint64_t number = 0;
    std::string service;
    std::string filler;
    text >> number >> service >> filler;
    if (number != caller.request->number || service != serviceForRoute(caller.flow.route)) {
        m_violations.report("answers belong to their request", caller.answer.substr(0, 30) + " to " + std::to_string(caller.request->number));
    }
    if (filler == "503") {
        m_outcomes.push_back({caller.startedAt, false, {}});
        acknowledge(now, caller, true);
        return endFlow(now, caller, true);
    }
    m_outcomes.push_back({caller.startedAt, true, now - caller.startedAt});
    ++m_completedRequests;
    m_completedOnChangingRoute += caller.flow.route == ChangingRoute ? 1 : 0;
    caller.request.reset();
    caller.nextActionAt = now + uniformDuration(m_random, milliseconds(5), MaxIdleTime);
}

void CallerSimulator::endFlow(TimePoint now, Caller &caller, bool succeeded)
{
    // A request on the changing route may fail at any time. TargetSimulator checks that a removed route gets no new flow.
    if (!succeeded && caller.flow.route != ChangingRoute && (caller.request || !caller.open)) {
        LogLine(LogLevel::Info, "request-failed").with("caller", toText(caller.flow.caller)).with("open", caller.open).with("copies", caller.openingsSent);
        m_outcomes.push_back({caller.startedAt, false, {}});
        ++m_failedRequests;
    }
    m_callerByPort.erase(caller.flow.caller.port);
    caller.idle = true;
    caller.nextActionAt = now + uniformDuration(m_random, milliseconds(5), MaxIdleTime);
}

// ---- Timers ----

void CallerSimulator::advance(TimePoint now, Caller &caller)
{
    if (caller.idle) {
        const auto index = static_cast<std::size_t>(&caller - m_callers.data());
        if (index < m_activeCallers && now >= caller.nextActionAt) {
            beginFlow(now, caller);
        }
    } else if (!caller.open && now >= caller.nextActionAt) {
        static_cast<std::size_t>(caller.openingsSent) < OpeningTimeouts.size() ? sendOpening(now, caller) : endFlow(now, caller, false);
    } else if (caller.request && now - caller.startedAt >= RequestTimeout) {
        endFlow(now, caller, false);
    } else if (caller.request && !caller.unacknowledged.empty() && now >= caller.nextActionAt) {
        caller.resendDelay = std::min(caller.resendDelay * 2, MaxResendDelay);
        caller.nextActionAt = now + caller.resendDelay;
        m_fabric.send(now, caller.flow.caller.port, caller.unacknowledged);
    } else if (caller.open && !caller.request && now >= caller.nextActionAt) {
        if (caller.requestsLeft > 0) {
            beginRequest(now, caller);
        } else {
            acknowledge(now, caller, true);
            endFlow(now, caller, true);
        }
    }
}

void CallerSimulator::tick(TimePoint now)
{
    m_fabric.tick(now);
    for (Caller &caller : m_callers) {
        advance(now, caller);
    }
    std::erase_if(m_outcomes, [now](const Outcome &outcome) {
        return now - outcome.startedAt > OutcomeMinAge + OutcomeWindow;
    });
}

void CallerSimulator::setRateFactor(std::size_t factor)
{
    m_activeCallers = std::min(m_topology.callers * factor, m_callers.size());
}

double CallerSimulator::recentSuccessRate(TimePoint now, Duration maxTime) const
{
    std::size_t total = 0;
    std::size_t succeeded = 0;
    for (const Outcome &outcome : m_outcomes) {
        if (now - outcome.startedAt >= OutcomeMinAge) {
            ++total;
            succeeded += outcome.succeeded && outcome.took <= maxTime ? 1 : 0;
        }
    }
    return total > 0 ? static_cast<double>(succeeded) / static_cast<double>(total) : 0;
}

std::size_t CallerSimulator::completedRequests() const
{
    return m_completedRequests;
}

std::size_t CallerSimulator::completedOnChangingRoute() const
{
    return m_completedOnChangingRoute;
}

std::size_t CallerSimulator::failedRequests() const
{
    return m_failedRequests;
}

std::size_t CallerSimulator::refusedFlows() const
{
    return m_refusedFlows;
}

Fabric &CallerSimulator::fabric()
{
    return m_fabric;
}

} // namespace Robinrail::Soak

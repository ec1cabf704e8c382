// SPDX-License-Identifier: MIT
// Caller crowd: implementation.
#include "caller_crowd.h"

#include "log.h"
#include "settings.h"

#include <sstream>

namespace Robinrail::Soak {

using Platform::WirePacket;

namespace {

// Copies of an opening packet are sent after these times, and the attempt ends after the last one.
constexpr std::array<Duration, 3> OpeningTimes = {milliseconds(200), milliseconds(600), milliseconds(1400)};

// Data without an acknowledgement is sent again after this, twice as late each time.
constexpr Duration FirstResend = milliseconds(200);
constexpr Duration MaxResendDelay = milliseconds(1600);

// A request without its answer is given up after this.
constexpr Duration TimeBudget = milliseconds(3000);

// Requests of one flow at most, the pause between two, and the shares of requests and of flows of a kind.
constexpr std::size_t MaxRequests = 8;
constexpr milliseconds MaxPause{400};
constexpr double RepeatableShare = 0.7;
constexpr double SecondRouteShare = 0.3;
constexpr double ChangingRouteShare = 0.2;

// Ports from which flows come; none is used twice within the life of a flow.
constexpr std::uint16_t FirstPort = 1024;
constexpr std::uint16_t LastPort = 60000;

// What servedOfLate() looks at: requests that began before this, but not much before.
constexpr Duration OutcomeDelay = milliseconds(3500);
constexpr Duration OutcomeWindow = milliseconds(2000);

} // namespace

CallerCrowd::CallerCrowd(boost::asio::io_context &io, const Plan &plan, const TargetFleet &fleet, Promises &promises, std::uint64_t seed)
    : m_plan(plan)
    , m_fleet(fleet)
    , m_promises(promises)
    , m_random(seed)
    , m_fabric(io,
               plan,
               seed + 1,
               [this](Endpoint from, BytesView datagram) {
                   receive(datagram, from);
               })
    , m_callers(plan.callers)
{
}

// ---- Sending ----

void CallerCrowd::send(TimePoint now, const Caller &caller, const WirePacket &packet)
{
    m_fabric.send(now, caller.flow.caller.port, Platform::encodePacket(packet));
}

void CallerCrowd::beginFlow(TimePoint now, Caller &caller)
{
    m_lastPort = m_lastPort == LastPort ? FirstPort : static_cast<std::uint16_t>(m_lastPort + 1);
    const auto index = static_cast<std::size_t>(&caller - m_callers.data());
    const bool changing = chance(m_random, ChangingRouteShare);
    const Endpoint usual = chance(m_random, SecondRouteShare) ? SecondRoute : FirstRoute;
    caller = {};
    caller.closed = false;
    caller.flow = {{m_plan.caller(), m_lastPort}, changing ? ChangingRoute : usual};
    caller.next = static_cast<std::uint32_t>(m_random());
    caller.left = static_cast<int>(1 + pick(m_random, MaxRequests));
    caller.began = now;
    m_ports[m_lastPort] = index;
    sendOpening(now, caller);
}

void CallerCrowd::sendOpening(TimePoint now, Caller &caller)
{
    const auto copy = static_cast<std::uint32_t>(caller.copies);
    caller.due = caller.began + OpeningTimes.at(copy);
    ++caller.copies;
    send(now, caller, {caller.flow.caller, caller.flow.route, FlowToken{0}, caller.next, copy, true, false, false, false, {}});
}

void CallerCrowd::beginRequest(TimePoint now, Caller &caller)
{
    caller.request = {++m_lastRequest, chance(m_random, RepeatableShare)};
    caller.answer.clear();
    caller.began = now;
    caller.wait = FirstResend;
    caller.due = now + caller.wait;
    --caller.left;
    const std::string text = writeRequest(*caller.request);
    const Bytes data(text.begin(), text.end());
    caller.unacknowledged =
        Platform::encodePacket({caller.flow.caller, caller.flow.route, caller.token, caller.next, caller.expected, false, true, false, false, data});
    caller.next += static_cast<std::uint32_t>(data.size());
    m_fabric.send(now, caller.flow.caller.port, caller.unacknowledged);
}

void CallerCrowd::acknowledge(TimePoint now, const Caller &caller, bool closing)
{
    send(now, caller, {caller.flow.caller, caller.flow.route, caller.token, caller.next, caller.expected, false, true, closing, false, {}});
}

// ---- Receiving ----

void CallerCrowd::receive(BytesView datagram, Endpoint from)
{
    const TimePoint now = monotonicNow();
    const std::optional<WirePacket> packet = Platform::decodePacket(datagram);
    if (!packet) {
        return m_promises.broken("packets stay whole", "unreadable packet at a caller from " + toText(from));
    }
    const auto at = m_ports.find(packet->to.port);
    if (at == m_ports.end()) {
        return;
    }
    Caller &caller = m_callers[at->second];
    if (packet->from != caller.flow.route) {
        return m_promises.broken("answers belong to their flow", toText(packet->from) + " on " + toText(caller.flow.caller));
    }
    if (packet->reset) {
        return resetBy(now, caller, from);
    }
    if (packet->opening) {
        caller.token = packet->token;
        if (!caller.open && packet->acknowledged == caller.next + 1) {
            caller.open = true;
            caller.next += 1;
            caller.expected = packet->sequence + 1;
            beginRequest(now, caller);
        }
        return;
    }
    if (caller.open) {
        caller.token = packet->token;
        answered(now, caller, *packet);
    }
}

void CallerCrowd::resetBy(TimePoint now, Caller &caller, Endpoint sender)
{
    const bool gone = caller.flow.route == ChangingRoute;
    if (caller.open && !gone && m_fleet.openAtLiveTarget(caller.flow)) {
        m_promises.broken("an open flow is kept as long as its target lives",
                          toText(caller.flow.caller) + " to " + toText(caller.flow.route) + " reset by " + toText(sender)
                              + (m_fleet.isTarget(sender) ? ", another target" : ", a balancer"));
    }
    end(now, caller, false);
}

void CallerCrowd::answered(TimePoint now, Caller &caller, const WirePacket &packet)
{
    if (packet.data.empty()) {
        return;
    }
    if (packet.sequence == caller.expected) {
        caller.answer.append(packet.data.begin(), packet.data.end());
        caller.expected += static_cast<std::uint32_t>(packet.data.size());
        caller.unacknowledged.clear();
    }
    acknowledge(now, caller, false);
    if (caller.request && caller.answer.ends_with('\n')) {
        take(now, caller);
    }
}

void CallerCrowd::take(TimePoint now, Caller &caller)
{
    std::istringstream text(caller.answer);
    std::uint64_t number = 0;
    std::string service;
    text >> number >> service;
    if (number != caller.request->number || service != serviceOf(caller.flow.route)) {
        m_promises.broken("answers belong to their request", caller.answer.substr(0, 30) + " to " + std::to_string(caller.request->number));
    }
    m_outcomes.push_back({caller.began, true});
    ++m_served;
    m_servedOnChangingRoute += caller.flow.route == ChangingRoute ? 1 : 0;
    caller.request.reset();
    caller.due = now + between(m_random, milliseconds(5), MaxPause);
}

void CallerCrowd::end(TimePoint now, Caller &caller, bool served)
{
    // A request on the changing route may fail at any time; what it must not do is checked elsewhere.
    if (!served && caller.flow.route != ChangingRoute && (caller.request || !caller.open)) {
        LogLine(LogLevel::Info, "request-failed").with("caller", toText(caller.flow.caller)).with("open", caller.open).with("copies", caller.copies);
        m_outcomes.push_back({caller.began, false});
        ++m_failed;
    }
    m_ports.erase(caller.flow.caller.port);
    caller.closed = true;
    caller.due = now + between(m_random, milliseconds(5), MaxPause);
}

// ---- Time ----

void CallerCrowd::serve(TimePoint now, Caller &caller)
{
    if (caller.closed) {
        if (now >= caller.due) {
            beginFlow(now, caller);
        }
    } else if (!caller.open && now >= caller.due) {
        static_cast<std::size_t>(caller.copies) < OpeningTimes.size() ? sendOpening(now, caller) : end(now, caller, false);
    } else if (caller.request && now - caller.began >= TimeBudget) {
        end(now, caller, false);
    } else if (caller.request && !caller.unacknowledged.empty() && now >= caller.due) {
        caller.wait = std::min(caller.wait * 2, MaxResendDelay);
        caller.due = now + caller.wait;
        m_fabric.send(now, caller.flow.caller.port, caller.unacknowledged);
    } else if (caller.open && !caller.request && now >= caller.due) {
        if (caller.left > 0) {
            beginRequest(now, caller);
        } else {
            acknowledge(now, caller, true);
            end(now, caller, true);
        }
    }
}

void CallerCrowd::tick(TimePoint now)
{
    m_fabric.tick(now);
    for (Caller &caller : m_callers) {
        serve(now, caller);
    }
    std::erase_if(m_outcomes, [now](const Outcome &outcome) {
        return now - outcome.began > OutcomeDelay + OutcomeWindow;
    });
}

double CallerCrowd::servedOfLate(TimePoint now) const
{
    std::size_t all = 0;
    std::size_t served = 0;
    for (const Outcome &outcome : m_outcomes) {
        if (now - outcome.began >= OutcomeDelay) {
            ++all;
            served += outcome.served ? 1 : 0;
        }
    }
    return all > 0 ? static_cast<double>(served) / static_cast<double>(all) : 0;
}

std::size_t CallerCrowd::served() const
{
    return m_served;
}

std::size_t CallerCrowd::servedOnChangingRoute() const
{
    return m_servedOnChangingRoute;
}

std::size_t CallerCrowd::failed() const
{
    return m_failed;
}

Fabric &CallerCrowd::fabric()
{
    return m_fabric;
}

} // namespace Robinrail::Soak

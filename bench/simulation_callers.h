// SPDX-License-Identifier: MIT
// Simulated callers: member functions of Simulation, included by simulation.cpp only.
#pragma once

#include "random_draws.h"
#include "simulation_values.h"

#include <algorithm>

namespace Robinrail {

template<SlotPolicy Policy>
void Simulation<Policy>::scheduleNextRequest(const SimulatedService &service)
{
    const double slots = service.targets * service.slots;
    const double perMicrosecond = m_options.load * slots / static_cast<double>(service.serviceTime.count());
    if (perMicrosecond <= 0) {
        return;
    }
    after(exponential(Duration(static_cast<std::int64_t>(1.0 / perMicrosecond))), [this, &service] {
        const std::vector<CallerNode *> &requestCallers = m_requestCallers[value(service.id)];
        CallerNode &caller = *requestCallers[drawIndex(m_random, requestCallers.size())];
        if (m_now < m_measurementEnd && caller.session->opened()) {
            const std::uint64_t tag = ++m_lastTag << 8U | value(service.id);
            m_requestTallies[tag].repeatable = service.repeatable;
            m_result.sent += measuring() ? 1 : 0;
            caller.openRequests[caller.session->request(m_now, service.repeatable, m_options.deadline, packTag(tag))] = tag;
            processSession(caller);
        }
        scheduleNextRequest(service);
    });
}

template<SlotPolicy Policy>
void Simulation<Policy>::processSession(CallerNode &caller)
{
    for (const Message &message : caller.session->takeOutbox()) {
        transmit(m_options.deployment.callerDelay, true, [this, &caller, message] {
            sendToAnyBalancer([this, &caller, message](BalancerNode &node) {
                node.core->handleCaller(m_now, caller.service->id, caller.endpoint, message);
            });
        });
    }
    for (const FeedItem &item : caller.session->takeItems()) {
        caller.wrongItem = caller.wrongItem || unpackTag(item.body) != item.sequence;
        ++m_result.feedItems;
    }
    if (caller.feed && caller.session->opened()) {
        caller.longestStall = std::max(caller.longestStall, Duration(m_now - caller.session->lastItemAt()));
    }
    for (const CallResult &result : caller.session->takeResults()) {
        recordResult(caller, result);
    }
}

template<SlotPolicy Policy>
void Simulation<Policy>::recordResult(CallerNode &caller, const CallResult &result)
{
    const std::uint64_t tag = caller.openRequests.at(result.request);
    caller.openRequests.erase(result.request);
    m_requestTallies[tag].reportedNotRun = result.outcome == Outcome::NotRun;
    const bool counted = m_now - result.took >= m_measurementStart;
    if (counted) {
        ++m_result.outcomes[static_cast<std::size_t>(result.outcome)];
        m_result.unanswered += result.timedOut ? 1 : 0;
    }
    if (result.outcome != Outcome::Answered) {
        return;
    }
    if (counted) {
        m_latency.record(result.took);
    }
    const bool whole = result.parts.size() == static_cast<std::size_t>(caller.service->parts);
    const bool own = std::all_of(result.parts.begin(), result.parts.end(), [tag](const Bytes &part) {
        return unpackTag(part) == tag;
    });
    m_result.wrongAnswers += whole && own ? 0 : 1;
}

} // namespace Robinrail

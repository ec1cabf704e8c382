// SPDX-License-Identifier: MIT
// Admission order checker: implementation.
#include "admission_order_checker.h"

#include "priority_rate_limiter.h"
#include "settings.h"

#include <algorithm>

namespace Robinrail::Soak {

static_assert(AdmissionOrderChecker::MaxAdmissionDistance + AdmissionOrderChecker::MaxReadDelay <= AdmissionWindow);

AdmissionOrderChecker::AdmissionOrderChecker(Violations &violations)
    : m_violations(violations)
{
}

void AdmissionOrderChecker::tick(TimePoint now)
{
    if (now - m_lastTick > MaxReadDelay) {
        m_events.clear();
    }
    m_lastTick = now;
}

AdmissionOrderChecker::Events &AdmissionOrderChecker::eventsOf(TimePoint now, std::uint32_t balancer, Endpoint route)
{
    Events &events = m_events[{balancer, serviceForRoute(route)}];
    while (!events.empty() && now - events.front().at > MaxAdmissionDistance) {
        events.pop_front();
    }
    return events;
}

void AdmissionOrderChecker::recordAdmission(TimePoint now, std::uint32_t balancer, Endpoint route)
{
    Events &events = eventsOf(now, balancer, route);
    const std::uint8_t priority = priorityOfRoute(route);
    const auto surrounded = [&](const Event &refusal) {
        return !refusal.admitted && refusal.priority < priority && now - refusal.at >= MaxReadDelay && std::ranges::any_of(events, [&](const Event &event) {
            return event.admitted && event.priority > refusal.priority && refusal.at - event.at >= MaxReadDelay;
        });
    };
    if (std::ranges::any_of(events, surrounded)) {
        m_violations.report("urgent flows are admitted first",
                            "balancer " + addressText({balancer, 0}) + " refused a flow to " + serviceForRoute(route) + " between less urgent ones");
        events.clear(); // One report for each series of events.
    }
    events.push_back({now, priority, true});
}

void AdmissionOrderChecker::recordRefusal(TimePoint now, std::uint32_t balancer, Endpoint route)
{
    m_urgentRefusals += route == FirstRoute ? 1 : 0;
    eventsOf(now, balancer, route).push_back({now, priorityOfRoute(route), false});
}

std::size_t AdmissionOrderChecker::urgentRefusals() const
{
    return m_urgentRefusals;
}

} // namespace Robinrail::Soak

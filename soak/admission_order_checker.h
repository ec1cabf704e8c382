// SPDX-License-Identifier: MIT
// Admission order checker: a balancer refuses no flow while it admits less urgent ones of the same service.
#pragma once

#include "soak_types.h"

#include <deque>
#include <string>

namespace Robinrail::Soak {

// A balancer changes the shares of its priorities only at the end of a window, which lasts 200 ms at least (AdmissionWindow). Where
// a flow is refused, less urgent ones have no share. So a flow can't be refused between two admissions of less urgent flows
// that are less than a window apart: the limiter that refused it would have changed twice. This holds for each limiter, that
// of the link or of the pool in the balancer's own data centre. Pools in other data centres are limited at any time, so
// admissions there are not judged, nor are flows whose first copy did not go through admission control.
class AdmissionOrderChecker
{
public:
    // Events are seen in the order in which the soak reads its sockets, up to MaxReadDelay late. Refusals must be this far from both
    // admissions, and admissions less than a window minus this apart.
    static constexpr milliseconds MaxReadDelay{50};
    static constexpr milliseconds MaxAdmissionDistance{150};

    explicit AdmissionOrderChecker(Violations &violations);

    // Forgets all events if the soak itself was delayed by more than MaxReadDelay since the last tick.
    void tick(TimePoint now);

    // The first copy of a flow's opening packet reached a target in the balancer's data centre; a balancer reset one.
    void recordAdmission(TimePoint now, std::uint32_t balancer, Endpoint route);
    void recordRefusal(TimePoint now, std::uint32_t balancer, Endpoint route);

    // Refusals of flows to the route for which less urgent ones exist.
    std::size_t urgentRefusals() const;

private:
    struct Event {
        TimePoint at;
        std::uint8_t priority = 0;
        bool admitted = false;
    };
    using Events = std::deque<Event>; // Oldest first.

    Events &eventsOf(TimePoint now, std::uint32_t balancer, Endpoint route);

    Violations &m_violations;
    std::map<std::pair<std::uint32_t, std::string>, Events> m_events; // By balancer and service.
    TimePoint m_lastTick;
    std::size_t m_urgentRefusals = 0;
};

} // namespace Robinrail::Soak

// SPDX-License-Identifier: MIT
// Opening pin forwarder: implementation.
#include "opening_pin_forwarder.h"

#include <algorithm>

namespace Robinrail {

std::vector<OpeningPin> OpeningPinForwarder::admit(TimePoint now, DataCentreId dataCentre, std::vector<OpeningPin> pins)
{
    Budget &budget = m_budgets[dataCentre];
    if (now - budget.start >= PinForwardInterval) {
        budget = {now, 0};
    }
    std::stable_sort(pins.begin(), pins.end(), [](const OpeningPin &one, const OpeningPin &other) {
        return std::pair(one.open, one.age) < std::pair(other.open, other.age);
    });
    const std::size_t admitted = std::min(pins.size(), MaxForwardedPins - budget.used);
    m_dropped += pins.size() - admitted;
    m_forwarded += admitted;
    budget.used += admitted;
    pins.resize(admitted);
    return pins;
}

std::uint64_t OpeningPinForwarder::forwarded() const
{
    return m_forwarded;
}

std::uint64_t OpeningPinForwarder::dropped() const
{
    return m_dropped;
}

} // namespace Robinrail

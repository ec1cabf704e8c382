// SPDX-License-Identifier: MIT
// Opening pin forwarder: implementation.
#include "opening_pin_forwarder.h"

#include "duration_math.h"

#include <algorithm>

namespace Robinrail {

std::vector<OpeningPin> OpeningPinForwarder::admit(TimePoint now, DataCentreId dataCentre, std::size_t receivers, std::vector<OpeningPin> pins)
{
    Budget &budget = m_budgets[dataCentre];
    if (now - budget.start >= PinForwardInterval) {
        budget = {now, 0};
    }
    std::stable_sort(pins.begin(), pins.end(), [](const OpeningPin &one, const OpeningPin &other) {
        return std::pair(one.open, one.age) < std::pair(other.open, other.age);
    });
    const std::size_t admitted = std::min({pins.size(), room(now, dataCentre), pinsLeft(now, receivers)});
    m_dropped += pins.size() - admitted;
    m_forwarded += admitted;
    budget.used += admitted;
    m_bytesLeft -= admitted > 0 ? static_cast<double>((PinMessageBytes + admitted * PinBytes) * receivers) : 0;
    pins.resize(admitted);
    return pins;
}

std::size_t OpeningPinForwarder::used(TimePoint now, DataCentreId dataCentre) const
{
    const auto at = m_budgets.find(dataCentre);
    return at != m_budgets.end() && now - at->second.start < PinForwardInterval ? at->second.used : 0;
}

std::size_t OpeningPinForwarder::room(TimePoint now, DataCentreId dataCentre) const
{
    std::size_t taken = used(now, AllDataCentres);
    if (dataCentre != AllDataCentres) {
        taken += used(now, dataCentre);
    } else {
        std::size_t most = 0;
        for (const auto &[id, budget] : m_budgets) {
            most = std::max(most, id != AllDataCentres ? used(now, id) : 0);
        }
        taken += most;
    }
    return MaxForwardedPins - std::min(taken, MaxForwardedPins);
}

std::size_t OpeningPinForwarder::pinsLeft(TimePoint now, std::size_t receivers)
{
    m_bytesLeft = std::min(MaxPinBytesPerSecond, m_bytesLeft + MaxPinBytesPerSecond * detail::toSeconds(now - m_bytesLeftAt));
    m_bytesLeftAt = now;
    if (receivers == 0) {
        return MaxForwardedPins;
    }
    const std::size_t bytes = static_cast<std::size_t>(m_bytesLeft) / receivers;
    return (bytes - std::min(bytes, PinMessageBytes)) / PinBytes;
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

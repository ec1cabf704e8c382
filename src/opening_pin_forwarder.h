// SPDX-License-Identifier: MIT
// Opening pin forwarder: the bound on the opening pins that a replica passes on, without I/O.
#pragma once

#include "opening_pins.h"

#include <map>

namespace Robinrail {

// Maximum number of pins that a replica passes on per interval and data centre. 16 pins of about 20 bytes per 50 ms are 6.4 KB/s
// of the 24 KB/s that a node may use.
inline constexpr std::size_t MaxForwardedPins = 16;
inline constexpr Duration PinForwardInterval = std::chrono::milliseconds(50);

// Bytes of pins that a replica sends per second, on average and at once: what a node may use for control.
inline constexpr double MaxPinBytesPerSecond = 24'000;

// Size of a pin, and of a message besides its pins.
inline constexpr std::size_t PinBytes = 20;
inline constexpr std::size_t PinMessageBytes = 20;

// Instead of a data centre: the pins go to all of them.
inline constexpr DataCentreId AllDataCentres{0};

class OpeningPinForwarder
{
public:
    // The pins of one message that may be passed on to a data centre now, or to all of them; pins for all count in each data centre.
    // `receivers`: the nodes that get them. If they are too many, those of unanswered openings come first, and among these the
    // newest: the callers' next copies are the furthest away, so the pins are the most likely to arrive before them.
    std::vector<OpeningPin> admit(TimePoint now, DataCentreId dataCentre, std::size_t receivers, std::vector<OpeningPin> pins);

    std::uint64_t forwarded() const;
    std::uint64_t dropped() const;

private:
    struct Budget {
        TimePoint start;
        std::size_t used = 0;
    };

    // Pins that were passed on to a data centre in this interval, without those for all.
    std::size_t used(TimePoint now, DataCentreId dataCentre) const;
    std::size_t room(TimePoint now, DataCentreId dataCentre) const;

    // Pins for which a message to each of so many receivers has room.
    std::size_t pinsLeft(TimePoint now, std::size_t receivers);

    std::map<DataCentreId, Budget> m_budgets;
    double m_bytesLeft = MaxPinBytesPerSecond; // At m_bytesLeftAt.
    TimePoint m_bytesLeftAt;
    std::uint64_t m_forwarded = 0;
    std::uint64_t m_dropped = 0;
};

} // namespace Robinrail

// SPDX-License-Identifier: MIT
// Overload scheduler: draws when callers multiply their rate, and which target is slow for some time.
#pragma once

#include "caller_simulator.h"

namespace Robinrail::Soak {

class OverloadScheduler
{
public:
    OverloadScheduler(CallerSimulator &callers, TargetSimulator &targets, std::uint64_t seed);

    // While faults are injected: begins overloads and slow times again and again.
    void tick(TimePoint now);

    // Begins an overload, which lasts 2 to 4 s; ends it when its time is over.
    void begin(TimePoint now);
    void endIfDue(TimePoint now);

    // End of the current or the last overload.
    TimePoint endAt() const;

    std::size_t overloads() const;

private:
    CallerSimulator &m_callers;
    TargetSimulator &m_targets;
    Random m_random;
    TimePoint m_nextOverloadAt;
    TimePoint m_endAt;
    TimePoint m_nextSlowAt;
    std::size_t m_overloads = 0;
};

} // namespace Robinrail::Soak

// SPDX-License-Identifier: MIT
// Overload scheduler: implementation.
#include "overload_scheduler.h"

#include "log.h"

namespace Robinrail::Soak {

namespace {

// Length of an overload, and the time from its end to the next one.
constexpr milliseconds MinOverload{2000};
constexpr milliseconds MaxOverload{4000};
constexpr milliseconds MinPause{500};
constexpr milliseconds MaxPause{3000};

// How many times the usual rate: the targets process some four times of it for the first service.
constexpr std::size_t MinFactor = 5;

// Interval between slow times of targets, their length, and how many times longer a request takes.
constexpr milliseconds MinSlowInterval{1000};
constexpr milliseconds MaxSlowInterval{4000};
constexpr milliseconds MinSlowTime{1000};
constexpr milliseconds MaxSlowTime{3000};
constexpr std::size_t MinSlowness = 5;
constexpr std::size_t MaxSlowness = 10;

} // namespace

OverloadScheduler::OverloadScheduler(CallerSimulator &callers, TargetSimulator &targets, std::uint64_t seed)
    : m_callers(callers)
    , m_targets(targets)
    , m_random(seed)
{
}

void OverloadScheduler::tick(TimePoint now)
{
    if (now >= m_endAt && now >= m_nextOverloadAt) {
        begin(now);
        m_nextOverloadAt = m_endAt + uniformDuration(m_random, MinPause, MaxPause);
    }
    if (now >= m_nextSlowAt) {
        m_nextSlowAt = now + uniformDuration(m_random, MinSlowInterval, MaxSlowInterval);
        const std::size_t slowness = MinSlowness + uniformIndex(m_random, MaxSlowness - MinSlowness + 1);
        m_targets.slowDown(now + uniformDuration(m_random, MinSlowTime, MaxSlowTime), static_cast<int>(slowness));
    }
}

void OverloadScheduler::begin(TimePoint now)
{
    const std::size_t factor = MinFactor + uniformIndex(m_random, CallerSimulator::MaxRateFactor - MinFactor + 1);
    m_endAt = now + uniformDuration(m_random, MinOverload, MaxOverload);
    m_callers.setRateFactor(factor);
    ++m_overloads;
    LogLine(LogLevel::Info, "overload").with("factor", factor).with("for-ms", std::chrono::duration_cast<milliseconds>(m_endAt - now).count());
}

void OverloadScheduler::endIfDue(TimePoint now)
{
    if (now >= m_endAt) {
        m_callers.setRateFactor(1);
    }
}

TimePoint OverloadScheduler::endAt() const
{
    return m_endAt;
}

std::size_t OverloadScheduler::overloads() const
{
    return m_overloads;
}

} // namespace Robinrail::Soak

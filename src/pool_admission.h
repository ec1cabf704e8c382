// SPDX-License-Identifier: MIT
// Pool admission: the rate of new flows that the targets of one service in one data centre can take, found from the answer times of
// a balancer's own flows.
#pragma once

#include "priority_rate_limiter.h"

namespace Robinrail {

// Answers that a window must contain to count; with fewer it is extended.
inline constexpr std::uint32_t MinWindowAnswers = 8;

// An answer is a rejection by a full target if it takes less than this part of the usual time. Windows with more than
// MaxRejectedShare of them are overloaded, provided that the other answers took at least RejectionWaitFactor times the usual time:
// where targets reject, others wait. Without this, a release that answers much faster would look like an overload.
inline constexpr double RejectionAnswerShare = 1.0 / 3;
inline constexpr double MaxRejectedShare = 0.2;
inline constexpr double RejectionWaitFactor = 1.25;

// An answer counts at most this many times the limit of the mean, so that a few slow targets do not make a pool overloaded.
inline constexpr double MaxAnswerExcess = 2;

// Answers in consecutive overloaded windows that are required for a first limit. Single windows of MinWindowAnswers are
// overloaded now and then by a few slow targets.
inline constexpr std::uint32_t FirstLimitAnswers = 3 * MinWindowAnswers;

// Longest window, and the time without any answer after which a pool with admitted flows is overloaded.
inline constexpr Duration MaxAdmissionWindow = std::chrono::seconds(1);

// The usual answer time is the lowest mean of the samples of the last one to two periods, so that it can also rise. Small samples
// would make the lowest mean much lower than a typical one.
inline constexpr Duration UsualTimePeriod = std::chrono::seconds(30);
inline constexpr Duration UsualTimeSample = std::chrono::seconds(1);
inline constexpr std::uint32_t UsualTimeAnswers = 4 * MinWindowAnswers;

// Limit of an overflow pool at first, as a part of the rate that the own pool admits; its growth per window until it is first
// overloaded; and the time without use after which it starts again.
inline constexpr double OverflowStartShare = 0.25;
inline constexpr double OverflowGrowth = 2;
inline constexpr Duration OverflowRetention = std::chrono::seconds(3);

// Times against which a pool's answers are compared. Zeros: not known.
struct AnswerTimes {
    Duration usual{}; // Usual answer time of the service.
    Duration max{}; // Mean answer time from which on the pool is overloaded.
    Duration silence = MaxAdmissionWindow; // Time without any answer after which the pool is overloaded.
};

// Answers of a window.
struct WindowAnswers {
    std::uint32_t answers = 0; // Without rejections.
    std::uint32_t rejections = 0;
    Duration sum{}; // Of `answers`.
    Duration rejectionSum{};
    Duration lowest{}; // Of `answers`.
};

// The new flows that the targets of one service in one data centre can take.
class PoolAdmission
{
public:
    explicit PoolAdmission(std::uint64_t salt);

    bool allows(TimePoint now, const AdmissionRequest &request) const;
    void record(TimePoint now, const AdmissionRequest &request, bool admitted);

    // A request of a flow to this pool was answered after this time.
    void recordAnswer(TimePoint now, Duration answerTime, const AnswerTimes &times);

    // Limits the pool for flows that the own pool refuses, unless it is limited already.
    void startOverflow(double limit, const PriorityRates &demand);

    // Ends the window if it is due and has enough answers. Returns its answers if they show the usual answer time.
    std::optional<WindowAnswers> tick(TimePoint now, const AnswerTimes &times);

    // Whether the last window was overloaded; whether new flows are refused at present.
    bool overloaded() const;
    bool limiting() const;

    const PriorityRateLimiter &limiter() const;
    Duration meanAnswerTime() const; // Of the last window, without rejections.
    double rejectedShare() const; // Of the answers of the last window.
    TimePoint lastUse() const;

private:
    void noteUse(TimePoint now);
    bool isOverloaded(const AnswerTimes &times) const;
    void moveLimit(Duration length, double usedBefore);

    PriorityRateLimiter m_limiter;
    TimePoint m_windowStart;
    TimePoint m_lastUse;
    TimePoint m_lastArrival;
    WindowAnswers m_window;
    Duration m_meanAnswerTime{};
    double m_rejectedShare = 0;
    double m_used = 0; // What was measured in the last window, 1 when it becomes overloaded.
    bool m_overloaded = false;
    std::uint32_t m_overloadedAnswers = 0; // In consecutive overloaded windows.
    bool m_overflow = false; // Limited for overflow.
    bool m_growing = false; // Has not been overloaded since the overflow began.
};

// The usual answer time of a service: the lowest mean of the samples of the last one to two periods. While it is not known, rejections
// by full targets can't be told from answers; a sample that may contain some counts until the first one that does not.
class UsualAnswerTime
{
public:
    void record(TimePoint now, const WindowAnswers &window);

    // 0 if it is not known.
    Duration get() const;

private:
    TimePoint m_sampleStart;
    std::uint32_t m_answers = 0;
    Duration m_sum{};
    Duration m_fastest{}; // Of the sample; 0: no answer.
    TimePoint m_periodStart;
    Duration m_lowest{}; // Of this period; 0: no sample.
    Duration m_previous{}; // Of the period before.
    bool m_mixed = false; // All samples so far may contain rejections.
};

} // namespace Robinrail

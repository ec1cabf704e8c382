// SPDX-License-Identifier: MIT
// Admission control: decides which new flows a steering balancer admits while targets or its own link are overloaded, as a
// state machine without I/O.
//
// Each balancer decides alone, from the answer times of its own flows: all balancers of a data centre share the same targets,
// so all measure the same queues. Related: DAGOR (Zhou et al., SoCC 2018) for admission by priority and by a hash of the caller;
// the gradient of the answer time as in TCP Vegas (Brakmo and Peterson, 1995).
#pragma once

#include "routing_table.h"
#include "types.h"

#include <array>
#include <map>
#include <optional>
#include <span>
#include <utility>
#include <vector>

namespace Robinrail {

// Time in which answers and arrivals are summed before the limits change: long enough for several answers of a balancer that
// opens 20 flows per second, short against the 2 s in which a service has to recover.
inline constexpr Duration AdmissionWindow = std::chrono::milliseconds(200);

// Answers that a window must contain to count; with fewer it is extended.
inline constexpr std::uint32_t MinWindowAnswers = 8;

// A pool is overloaded when its mean answer time is this many times the usual one of its service. A target with a queue of some
// requests per slot then has about half of its queue in use: its slots do not run empty, and few requests are shed.
inline constexpr double OverloadedAnswerFactor = 3;

// The same for targets in another data centre, so that its own callers come first.
inline constexpr double RemoteOverloadedAnswerFactor = 2;

// Part of the latency objective that the mean answer time may take, unless that is less than RemoteOverloadedAnswerFactor times the
// usual one: a service whose usual answer takes a quarter of its objective was refused without any overload. The rest is left for
// the opening and for a slower than average answer.
inline constexpr double MaxObjectiveShare = 0.25;

// The same while the usual answer time is not known.
inline constexpr double UnknownObjectiveShare = 1.0 / 3;

// Period for which a caller keeps its place in the order of admission. A refused caller returns within about a second; it
// then gets the same answer, so that returns add no load.
inline constexpr Duration AdmissionRotation = std::chrono::seconds(1);

// Largest priority number that is told apart; less urgent ones count as this one.
inline constexpr std::uint8_t MaxPriority = 7;
inline constexpr std::size_t PriorityCount = MaxPriority + 1;

// Share of the own link from which on new flows are refused. The rest is for packets of open flows and for bursts within a
// window, as packets beyond the capacity of the link are lost.
inline constexpr double MaxLinkShare = 0.85;

// Limits never fall below this rate, so that an overloaded pool or link is still measured by a few flows.
inline constexpr double MinAdmittedRate = 2;

// The first limit of a pool or link, as a part of the admitted rate of the window that is overloaded, and the least part if the
// excess is large.
inline constexpr double FirstLimitShare = 0.95;
inline constexpr double MaxLimitDecrease = 0.5;

// Steps of an existing limit per window. It rises by LimitIncrease of the geometric mean of limit and demand, and falls by
// LimitDecrease of the limit times the pressure, which is 0 at IdleShare of what makes a window overloaded and 1 at the overload.
// The fall is linear in what was measured, so that the noise of small windows averages out: with a threshold, 26 balancers that
// share the targets drifted apart to 0.1 and 3 times their mean rate within 30 s. The rise that follows the demand brings them
// together again.
inline constexpr double LimitIncrease = 0.06;
inline constexpr double LimitDecrease = 0.078;
inline constexpr double IdleShare = 0.5;

// Largest rise per window as a part of the limit, and the rise while less than IdleShare is used.
inline constexpr double MaxLimitIncrease = 0.1;
inline constexpr double MaxIdleLimitIncrease = 0.25;

// A limit ends when less than this part of it has asked for admission for this long.
inline constexpr double CalmShare = 0.8;
inline constexpr Duration CalmTime = std::chrono::seconds(1);

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

// Pools that have not been used for this long are forgotten.
inline constexpr Duration PoolRetention = std::chrono::seconds(60);

// A new flow that asks for admission.
struct AdmissionRequest {
    std::uint8_t priority = 0; // 0 is the most urgent.
    std::uint64_t callerHash = 0; // Of the caller's address without its port.
};

using PriorityRates = std::array<double, PriorityCount>;

// Admits a limited rate of new flows: the most urgent priorities first, and of the one that can't be admitted whole a share of
// the callers. Without a limit it admits all and measures the rate.
class RateLimiter
{
public:
    // `salt`: makes the order of callers differ from that of other limiters. Callers that one pool refuses would otherwise be
    // the last ones at each other pool, too.
    explicit RateLimiter(std::uint64_t salt = 0);

    // Whether the flow may be admitted. The caller passes the outcome to record().
    bool allows(TimePoint now, const AdmissionRequest &request) const;
    void record(const AdmissionRequest &request, bool admitted);

    // Ends a window: the next one follows the arrivals of this one. The limit is changed by the owner afterwards.
    void endWindow(Duration length);

    // Flows per second that may be admitted; empty: unlimited.
    std::optional<double> limit() const;
    void setLimit(std::optional<double> limit);

    // Sets the limit to FirstLimitShare of the admitted rate, but not below MinAdmittedRate. `remaining`: 1, or less if the excess
    // is large.
    void lower(double remaining);

    // Moves an existing limit. `used`: 1 when the resource becomes overloaded. `maxDemand`: the demand counts at most this many
    // times the limit. `overloadFactor`: how many times faster the limit falls beyond the overload.
    void adjust(Duration length, double used, double maxDemand, double overloadFactor);

    // How long the demand has been below CalmShare of the limit.
    Duration calm() const;

    // Admitted, arrived and asking flows per second, of the last window that ended. Refused callers return; the arrivals count
    // each return, the demand counts the caller once.
    double admittedRate() const;
    double arrivalRate() const;
    double demand() const;

    // Demand by priority that the limit refuses.
    PriorityRates refusedDemand() const;
    void assumeDemand(const PriorityRates &demand);

    // Whether flows of this priority, or of the least urgent one that arrived, are refused at present.
    bool refuses(std::uint8_t priority) const;
    bool refusesAny() const;

    // Arrivals and admissions in the present window.
    std::uint32_t arrived() const;
    std::uint32_t admitted() const;

private:
    double share(std::uint8_t priority) const;
    void updateShares();

    std::uint64_t m_salt;
    std::optional<double> m_limit;
    std::array<std::uint32_t, PriorityCount> m_arrived{}; // In this window.
    std::array<std::uint32_t, PriorityCount> m_admitted{};
    PriorityRates m_demand{}; // Callers per second that ask for admission, smoothed.
    PriorityRates m_shares{}; // Part of the demand that is admitted.
    double m_arrivalRate = 0;
    double m_admittedRate = 0;
    Duration m_calm{};
};

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

    const RateLimiter &limiter() const;
    Duration meanAnswerTime() const; // Of the last window, without rejections.
    double rejectedShare() const; // Of the answers of the last window.
    TimePoint lastUse() const;

private:
    void noteUse(TimePoint now);
    bool isOverloaded(const AnswerTimes &times) const;
    void moveLimit(Duration length, double usedBefore);

    RateLimiter m_limiter;
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

// Measures the bytes on the own link against its capacity.
class LinkLoad
{
public:
    // Capacity in bytes per second in each direction; 0: not known, the link is never full.
    explicit LinkLoad(double bytesPerSecond);

    void recordBytes(std::size_t received, std::size_t sent);

    // Whether a new flow may be admitted. The caller passes the outcome to record().
    bool allows(TimePoint now, const AdmissionRequest &request) const;
    void record(const AdmissionRequest &request, bool admitted);

    void tick(TimePoint now);

    // Larger of the shares used in both directions in the last window.
    double used() const;
    const RateLimiter &limiter() const;

private:
    double m_capacity;
    RateLimiter m_limiter;
    TimePoint m_windowStart;
    std::size_t m_received = 0;
    std::size_t m_sent = 0;
    double m_used = 0;
};

// The usual answer time of a service: the lowest mean of the samples of the last one to two periods.
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
    TimePoint m_periodStart;
    Duration m_lowest{}; // Of this period; 0: no sample.
    Duration m_previous{}; // Of the period before.
};

enum class AdmissionVerdict : std::uint8_t {
    Anywhere, // No limit applies: choose among all targets as without admission control.
    DataCentre, // Choose among the targets of this data centre only.
    RefusedByPools, // The targets that may be used can take no more.
    RefusedByLink, // The own link is full.
};

struct AdmissionDecision {
    AdmissionVerdict verdict = AdmissionVerdict::Anywhere;
    DataCentreId dataCentre{}; // DataCentre only.
};

// Identifies the targets of a service in a data centre. Services are named by their index in the routing table in force.
struct PoolKey {
    std::uint16_t service = 0;
    DataCentreId dataCentre{};

    auto operator<=>(const PoolKey &) const = default;
};

class AdmissionControl
{
public:
    // `linkBytesPerSecond`: capacity of the own link, 0 if it is not known.
    AdmissionControl(DataCentreId own, double linkBytesPerSecond);

    // Forgets all pools: the services of the routing table have changed.
    void reset();

    // Decides on a new flow. `usable`: the data centres with targets of the service that may get new flows, the own one among
    // them if it has any. Refuses no flow whose objective has no latency.
    AdmissionDecision
    decide(TimePoint now, std::uint16_t service, const RequestObjective &objective, std::uint64_t callerHash, std::span<const DataCentreId> usable);

    // A request was answered by a target of this pool.
    void recordAnswer(TimePoint now, PoolKey pool, Duration answerTime);

    void recordBytes(std::size_t received, std::size_t sent);

    void tick(TimePoint now);

    // Usual answer time of a service: what it takes while nothing waits; 0 if it is not known.
    Duration usualAnswerTime(std::uint16_t service) const;

    const std::map<PoolKey, PoolAdmission> &pools() const;
    const LinkLoad &link() const;

private:
    struct ServiceState {
        UsualAnswerTime usual;
        Duration smallestLatency{}; // Smallest latency objective of the requests of this period; 0: none.
        Duration previousLatency{}; // The same of the period before.
        TimePoint periodStart;
    };

    PoolAdmission &pool(PoolKey key);
    AnswerTimes answerTimes(PoolKey key) const;
    void noteLatency(TimePoint now, std::uint16_t service, Duration latency);
    // Sorts the usable data centres but the own one by the caller's hash into m_order.
    void orderOthers(std::uint64_t callerHash, std::span<const DataCentreId> usable);
    AdmissionDecision chooseAmong(TimePoint now, std::uint16_t service, const AdmissionRequest &request, std::span<const DataCentreId> usable);
    AdmissionDecision chooseOverflow(TimePoint now, std::uint16_t service, const AdmissionRequest &request, const PoolAdmission &home);
    AdmissionDecision chooseElsewhere(TimePoint now, std::uint16_t service, const AdmissionRequest &request);

    DataCentreId m_own;
    LinkLoad m_link;
    std::map<PoolKey, PoolAdmission> m_pools;
    std::map<std::uint16_t, ServiceState> m_services;
    std::vector<std::pair<std::uint64_t, DataCentreId>> m_order; // Of the pools for one flow; kept for its memory.
};

} // namespace Robinrail

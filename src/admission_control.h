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

// Part of the latency objective that the mean answer time may take in any case, and that is the limit while the usual answer
// time is not known. The rest is left for the opening and for a slower than average answer.
inline constexpr double MaxObjectiveShare = 0.25;

// Period for which a caller keeps its place in the order of admission. A refused caller returns within about a second; it
// then gets the same answer, so that returns add no load.
inline constexpr Duration AdmissionRotation = std::chrono::seconds(1);

// Largest priority number that is told apart; less urgent ones count as this one.
inline constexpr std::uint8_t MaxPriority = 7;
inline constexpr std::size_t PriorityCount = MaxPriority + 1;

// Share of the own link from which on new flows are refused. The rest is for packets of open flows and for bursts within a
// window, as packets beyond the capacity of the link are lost.
inline constexpr double MaxLinkShare = 0.85;

// A new flow that asks for admission.
struct AdmissionRequest {
    std::uint8_t priority = 0; // 0 is the most urgent.
    std::uint64_t callerHash = 0; // Of the caller's address without its port.
};

// Admits a limited rate of new flows: the most urgent priorities first, and of the one that can't be admitted whole a share of
// the callers. Without a limit it admits all and measures the rate.
class RateLimiter
{
public:
    bool admit(TimePoint now, const AdmissionRequest &request);

    // Ends a window: the next one follows the arrivals of this one. The limit is changed by the owner first.
    void endWindow(Duration length);

    // Flows per second that may be admitted; empty: unlimited.
    std::optional<double> limit() const;
    void setLimit(std::optional<double> limit);

    // Admitted and arrived flows per second, of the last window that ended.
    double admittedRate() const;
    double arrivalRate() const;

    // Whether flows of this priority, or of the least urgent one that arrived, are refused at present.
    bool refuses(std::uint8_t priority) const;
    bool refusesAny() const;

private:
    double share(std::uint8_t priority) const;

    std::optional<double> m_limit;
    std::array<std::uint32_t, PriorityCount> m_arrived{}; // In this window.
    std::array<double, PriorityCount> m_rates{}; // Arrivals per second by priority, of the last window.
    std::uint32_t m_admitted = 0;
    double m_admittedRate = 0;
};

// The new flows that the targets of one service in one data centre can take.
class PoolAdmission
{
public:
    explicit PoolAdmission(double overloadedFactor);

    bool admit(TimePoint now, const AdmissionRequest &request);

    // A request of a flow to this pool was answered after this time. `usual`: the usual answer time of the service, 0 if it is
    // not known. Answers that come much faster than usual are rejections by a target whose queue is full.
    void recordAnswer(TimePoint now, Duration answerTime, Duration usual);

    // Ends the window if it is due and has enough answers. `maxAnswerTime`: the mean answer time from which on the pool is
    // overloaded.
    void tick(TimePoint now, Duration maxAnswerTime);

    // Whether the last window was overloaded; whether new flows are refused at present.
    bool overloaded() const;
    bool limiting() const;

    const RateLimiter &limiter() const;
    Duration meanAnswerTime() const; // Of the last window, without rejections.
    double rejectedShare() const; // Of the answers of the last window.

private:
    RateLimiter m_limiter;
    double m_overloadedFactor;
    TimePoint m_windowStart;
    std::uint32_t m_answers = 0;
    std::uint32_t m_rejections = 0;
    Duration m_answerTimeSum{};
    Duration m_meanAnswerTime{};
    double m_rejectedShare = 0;
    bool m_overloaded = false;
};

// Measures the bytes on the own link against its capacity.
class LinkLoad
{
public:
    // Capacity in bytes per second in each direction; 0: not known, the link is never full.
    explicit LinkLoad(double bytesPerSecond);

    void record(std::size_t received, std::size_t sent);

    // Whether a new flow may be admitted.
    bool admit(TimePoint now, const AdmissionRequest &request);

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
    AdmissionDecision decide(TimePoint now, std::uint16_t service, const RequestObjective &objective, std::uint64_t callerHash, std::span<const DataCentreId> usable);

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
        Duration usual{};
        Duration smallestLatency{}; // Smallest latency objective of the requests seen lately.
    };

    PoolAdmission &pool(PoolKey key);
    AdmissionDecision decideOverflow(TimePoint now, std::uint16_t service, const AdmissionRequest &request, std::span<const DataCentreId> usable);

    DataCentreId m_own;
    LinkLoad m_link;
    std::map<PoolKey, PoolAdmission> m_pools;
    std::map<std::uint16_t, ServiceState> m_services;
};

} // namespace Robinrail

// SPDX-License-Identifier: MIT
// Priority rate limiter: admits a limited rate of new flows, the most urgent priorities first, and moves the limit with the use of
// what it protects. Related: DAGOR (Zhou et al., SoCC 2018) for admission by priority and by a hash of the caller; the gradient of
// the answer time as in TCP Vegas (Brakmo and Peterson, 1995).
#pragma once

#include "types.h"

#include <array>
#include <optional>

namespace Robinrail {

// Time in which answers and arrivals are summed before the limits change: long enough for several answers of a balancer that
// opens 20 flows per second, short against the 2 s in which a service has to recover.
inline constexpr Duration AdmissionWindow = std::chrono::milliseconds(200);

// Period for which a caller keeps its place in the order of admission. A refused caller returns within about a second; it
// then gets the same answer, so that returns add no load.
inline constexpr Duration AdmissionRotation = std::chrono::seconds(1);

// Largest priority number that is told apart; less urgent ones count as this one.
inline constexpr std::uint8_t MaxPriority = 7;
inline constexpr std::size_t PriorityCount = MaxPriority + 1;

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

// A new flow that asks for admission.
struct AdmissionRequest {
    std::uint8_t priority = 0; // 0 is the most urgent.
    std::uint64_t callerHash = 0; // Of the caller's address without its port.
};

using PriorityRates = std::array<double, PriorityCount>;

// Admits a limited rate of new flows: the most urgent priorities first, and of the one that can't be admitted whole a share of
// the callers. Without a limit it admits all and measures the rate.
class PriorityRateLimiter
{
public:
    // `salt`: makes the order of callers differ from that of other limiters. Callers that one pool refuses would otherwise be
    // the last ones at each other pool, too.
    explicit PriorityRateLimiter(std::uint64_t salt = 0);

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

    // Multiplies an existing limit by a factor; it rises to twice the demand at most.
    void scale(Duration length, double factor);

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
    void updateCalm(Duration length);
    void changeLimit(double limit);
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

} // namespace Robinrail

// SPDX-License-Identifier: MIT
// Discrete-event simulation of balancers behind a modelled network fabric, with modelled targets and callers.
//
// One event queue and one seeded generator drive the product's own BalancerCore and CallerSession, so that a run
// is reproducible and no balancing decision is implemented a second time. Shared by the benchmark and the tests.
#pragma once

#include "balancer_core.h"
#include "caller_session.h"
#include "metrics.h"

#include <pcg_random.hpp>

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>

namespace Robinrail {

struct SimulatedService {
    ServiceId id{};
    int targets = 0;
    std::uint16_t slots = 0;
    Duration serviceTime{}; // Mean; exponentially distributed.
    int parts = 1;
    bool repeatable = false; // Its requests are idempotent.
};

struct SimulatedDeployment {
    int balancers = 8;
    int dataCentres = 3;
    Duration interDataCentreDelay = std::chrono::milliseconds(1); // One way.
    Duration callerDelay = std::chrono::milliseconds(3); // One way, between callers and balancers.
    std::vector<SimulatedService> services;
};

// The two reference deployments. Their service times are assumptions, as the requirements state none.
SimulatedDeployment kathmandu();
SimulatedDeployment bogota();

enum class FaultKind : std::uint8_t {
    StopBalancer, // Planned, with handover of flows.
    KillBalancer,
    StartBalancer, // Restarts it with a new incarnation.
    FreezeBalancer, // Its packets are queued until UnfreezeBalancer.
    UnfreezeBalancer,
    DrainTarget,
    KillTarget,
    StartTarget,
    SilenceTarget, // Keeps announcing itself but answers no message.
    IsolateDataCentre, // From all others; nodes inside still reach each other.
    ReconnectDataCentre,
};

struct Fault {
    Duration at{};
    FaultKind kind = FaultKind::StopBalancer;
    int index = 0; // Number of the balancer, target or data centre, counted from 1.
};

struct SimulationOptions {
    SimulatedDeployment deployment;
    std::uint64_t seed = 1;
    double load = 0.5; // Offered work as a fraction of the capacity of all slots.
    int callers = 60; // Request flows per service.
    int feeds = 40; // Feed flows, all on the first service.
    Duration warmUp = std::chrono::seconds(6);
    Duration duration = std::chrono::seconds(30); // After the warm-up.
    Duration deadline = std::chrono::seconds(2);
    double drop = 0; // Loss probability of a packet on every hop.
    double duplicate = 0; // Probability, on hops into balancers and to callers.
    double delayed = 0; // Probability of an extra delay of up to MaxExtraDelay.
    Duration linger = std::chrono::seconds(4);
    std::vector<Fault> faults; // Times count from the end of the warm-up.
};

// Fault schedules shared by the benchmark and the tests.
void restartBalancersInTurn(SimulationOptions &options);
void replaceTargetsInTurn(SimulationOptions &options);
void dropDuplicateAndDelay(SimulationOptions &options); // Each with a probability of 10%.
void combineAllFaults(SimulationOptions &options);

struct SimulationResult {
    std::uint64_t sent = 0;
    std::array<std::uint64_t, 4> outcomes{}; // By Outcome.
    std::uint64_t unanswered = 0; // Requests that timed out at the caller.
    std::uint64_t brokenFlows = 0;
    std::uint64_t runTwice = 0; // Non-idempotent requests executed more than once.
    std::uint64_t falseNotRun = 0; // Executed requests that were reported as not run.
    std::uint64_t wrongAnswers = 0; // Incomplete, or with parts of another request's answer.
    std::uint64_t crossDeliveries = 0; // Requests that reached a target of another service.
    std::uint64_t lateWork = 0; // Attempts and new attachments that reach a target over 3 s after it began to drain.
    std::uint64_t feedItems = 0;
    Duration longestStall{};
    std::uint64_t retries = 0;
    std::uint64_t refusedAttempts = 0;
    std::uint64_t offloaded = 0;
    std::uint64_t stoppedBalancers = 0; // Planned stops that completed.
    double imbalance = 1; // Max/mean busy time of a service's targets; the highest of all services.
    double occupancyP99 = 0; // Of running/slots, over all targets and samples.
    double goodput = 0; // Slot time of answered requests over the slot time available.
    Duration p50{};
    Duration p99{};
    double controlBytesPerSecond = 0; // Of the balancer that sends the most.

    // Hash of the counts and of the latency quantiles; equal runs have equal signatures.
    std::uint64_t signature() const;
};

inline constexpr Duration MaxExtraDelay = std::chrono::milliseconds(300);

template<SlotPolicy Policy>
class Simulation
{
public:
    explicit Simulation(const SimulationOptions &options);
    SimulationResult run();

    // For tests that inspect a balancer or schedule events of their own.
    BalancerCore<Policy> &balancer(int number);
    TimePoint now() const;
    void at(TimePoint time, std::function<void()> action);

private:
    struct BalancerNode {
        BalancerId id{};
        int dataCentre = 0;
        Endpoint endpoint;
        std::unique_ptr<BalancerCore<Policy>> core;
        bool alive = false;
        bool frozen = false;
        bool inFabric = false;
        std::uint64_t startCount = 0;
        std::uint64_t controlBytes = 0;
        std::vector<std::function<void()>> deferredActions;
    };
    struct Feed {
        Endpoint balancer;
        FlowId flow{};
        std::uint64_t next = 1;
    };
    struct TargetNode {
        TargetId id{};
        const SimulatedService *service = nullptr;
        int dataCentre = 0;
        Endpoint endpoint;
        bool alive = false;
        bool silent = false;
        bool draining = false;
        TimePoint drainedAt;
        std::uint64_t startCount = 0;
        std::uint64_t sequence = 0;
        std::set<AttemptKey> running;
        std::map<AttemptKey, Feed> feeds;
        Duration busy{};
        TimePoint busyUpdatedAt;
    };
    struct CallerNode {
        Endpoint endpoint;
        const SimulatedService *service = nullptr;
        bool feed = false;
        std::unique_ptr<CallerSession> session;
        std::map<RequestId, std::uint64_t> openRequests; // Tags.
        Duration longestStall{};
        bool wrongItem = false;
    };
    struct RequestTally {
        int executions = 0;
        bool repeatable = false;
        bool reportedNotRun = false;
    };
    struct Event {
        TimePoint at;
        std::uint64_t order = 0; // Of insertion, for events at the same time.
        std::function<void()> action;

        bool operator>(const Event &other) const
        {
            return std::pair(at, order) > std::pair(other.at, other.order);
        }
    };

    double uniform();
    Duration exponential(Duration mean);
    void after(Duration delay, std::function<void()> action);
    void every(Duration interval, std::function<bool()> action);
    bool measuring() const;

    void startBalancer(BalancerNode &node);
    void startTarget(TargetNode &node);
    void apply(const Fault &fault);
    void tickBalancer(BalancerNode &node, std::uint64_t startCount);
    void runOnBalancer(BalancerNode &node, const std::function<void()> &action);
    void flush(BalancerNode &node);
    void route(BalancerNode &from, const Outgoing &outgoing);
    bool connected(int one, int other) const;
    Duration latency(int one, int other) const;
    template<typename Deliver>
    void transmit(Duration delay, bool mayDuplicate, Deliver deliver);
    void sendToAnyBalancer(std::function<void(BalancerNode &)> deliver);

    void handleTargetMessage(TargetNode &target, BalancerNode &from, const Message &message);
    void runRequest(TargetNode &target, BalancerNode &from, const RunRequest &request);
    void sendFromTarget(TargetNode &target, Endpoint balancer, const Message &message);
    void announce(TargetNode &target, std::uint64_t startCount);
    void pushFeed(TargetNode &target, AttemptKey attachment, std::uint64_t startCount);
    void setRunning(TargetNode &target, const AttemptKey &attempt, bool running);
    bool isLate(const TargetNode &target) const;

    void scheduleNextRequest(const SimulatedService &service);
    void processSession(CallerNode &caller);
    void recordResult(CallerNode &caller, const CallResult &result);
    void sampleOccupancy();
    SimulationResult summarize();

    SimulationOptions m_options;
    pcg64 m_random;
    TimePoint m_now;
    TimePoint m_measurementStart;
    TimePoint m_measurementEnd;
    std::uint64_t m_lastOrder = 0;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::vector<BalancerNode> m_balancers;
    std::vector<TargetNode> m_targets;
    std::vector<CallerNode> m_callers;
    std::map<std::uint16_t, std::vector<CallerNode *>> m_requestCallers; // By service; callers with a feed send no requests.
    std::set<int> m_isolatedDataCentres;
    std::map<std::uint64_t, RequestTally> m_requestTallies;
    std::uint64_t m_lastTag = 0;
    Duration m_answeredWork{};
    std::vector<std::uint64_t> m_occupancy; // Histogram of running/slots of a target.
    LatencyHistogram m_latency;
    SimulationResult m_result;
};

// Upper bound for any balancer: the same load at one central queue in front of all slots.
struct CentralQueueResult {
    double goodput = 0;
    Duration p50{};
    Duration p99{};
};
CentralQueueResult simulateCentralQueue(const SimulatedService &service, double load, Duration duration, Duration maxWait, std::uint64_t seed);

// Stateless baselines: each packet picks its target by itself, without connection ids, flow owners or slot counts.
enum class BaselineKind : std::uint8_t {
    PlainHash,
    RoundRobin,
    Random,
};
struct BaselineResult {
    double goodput = 0;
    double imbalance = 1;
    std::uint64_t refused = 0;
    std::uint64_t brokenFlows = 0; // Of `feeds`, when one target is removed.
};
BaselineResult simulateBaseline(BaselineKind kind, const SimulatedService &service, double load, Duration duration, int feeds, std::uint64_t seed);

} // namespace Robinrail

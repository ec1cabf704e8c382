// SPDX-License-Identifier: MIT
// Request engine: admission, queueing, attempts, retries and outcomes of the requests of owned flows.
//
// At-most-once execution: only the owner of a flow accepts its requests, a request id is recorded in the flow's window before
// the request is processed, and each attempt ends as answered, explicitly refused, or unresolved. A request is reported as not
// run only if it has no unresolved attempt, and no attempt follows that report.
#pragma once

#include "answer_assembly.h"
#include "answer_cache.h"
#include "balancer_context.h"
#include "fair_queue.h"
#include "offload_deduplicator.h"
#include "retry_budget.h"
#include "slot_policy.h"

#include <queue>
#include <unordered_map>

namespace Robinrail {

// Maximum time left until a deadline; longer ones are capped to it.
inline constexpr Duration MaxTimeLeft = std::chrono::seconds(60);

// A repeatable request without its complete answer after this many mean service times is retried at another target.
inline constexpr int AttemptTimeoutFactor = 8;
inline constexpr Duration MinAttemptTimeout = std::chrono::milliseconds(500);

// An attempt that has not ended after this many mean service times releases its slot, as its answer was probably
// lost. If it still runs, the target refuses the excess attempts, which are then retried.
inline constexpr int SlotHoldFactor = 8;
inline constexpr Duration MinSlotHold = std::chrono::milliseconds(200);

// The other parts of an answer are considered lost if they don't arrive within this time.
inline constexpr Duration PartialAnswerTime = std::chrono::milliseconds(400);

// Number of peers that a balancer without slots of its own asks per request and tick without a hint that they have a free one.
inline constexpr int MaxProbes = 3;

// Minimum retry-after of a refusal, and the retry-after if no target is serving.
inline constexpr Duration MinRetryAfter = std::chrono::milliseconds(50);
inline constexpr Duration NoTargetRetryAfter = std::chrono::seconds(1);

template<SlotPolicy Policy>
class RequestEngine
{
public:
    explicit RequestEngine(BalancerContext &context);

    // Applies the services of a bundle. Services that remain keep their queues and retry budgets.
    void applyServices(std::span<const ServiceSettings> services);
    bool knowsService(ServiceId service) const;

    // Accepts a request of an owned flow; its answer or refusal is put into the outbox now or later.
    void accept(TimePoint now, FlowId flowId, Endpoint caller, const Request &request);

    // Resends the final answer of a completed request; false if it is not cached.
    bool resend(RequestKey key, Endpoint caller);
    bool isPending(RequestKey key) const;

    // Refuses a request that this balancer has no state of: it may or may not have run, so its outcome is reported as unknown.
    void refuseOutcomeUnknown(FlowId flow, Endpoint caller, RequestId request, RefusalReason reason);

    void cancel(TimePoint now, RequestKey key);

    // Handle responses of targets and peers to attempts of this balancer.
    void handleRunPart(TimePoint now, const RunPart &part);
    void handleRunRefused(TimePoint now, const RunRefused &refusal);

    // Handle a peer's request to run an attempt here, or to cancel one.
    void handleOffload(TimePoint now, Endpoint peer, const OffloadRequest &offload);
    void cancelHosted(const CancelRun &cancel);

    void recordFreeSlots(TimePoint now, BalancerId peer, ServiceId service, std::uint16_t freeSlots);
    void onPeerLost(TimePoint now, BalancerKey peer);
    void onTargetLost(TimePoint now, TargetId target);

    // Reassigns slots if members or targets changed, runs due timers, and dispatches queued requests.
    void tick(TimePoint now);

    // Free slots offered to peers; 0 while requests are queued here.
    std::uint16_t offloadableSlots(ServiceId service, TimePoint now) const;

    // Whether no request is queued or running here, for this balancer or for a peer.
    bool idle() const;
    std::size_t queued(ServiceId service) const;

private:
    struct ServiceState {
        ServiceSettings settings;
        FairQueue<RequestKey> queue;
        RetryBudget budget;
        double meanMicroseconds = InitialMeanMicroseconds; // Exponential moving average of the service time.

        Duration meanServiceTime() const
        {
            return Duration(static_cast<std::int64_t>(meanMicroseconds));
        }
    };

    struct Pending {
        ServiceId service{};
        Endpoint caller;
        TimePoint deadline;
        bool repeatable = false;
        int unresolvedAttempts = 0; // Sent and not explicitly refused.
        int probes = 0; // Peers asked without a hint since the last tick.
        std::uint64_t attempt = 0; // Serial of the running attempt; 0 while queued.
        std::vector<TargetId> avoid;
        Bytes body;
    };

    enum class AttemptKind : std::uint8_t {
        Local,
        Offloaded, // Runs in a slot of `executor`.
        Hosted, // Runs here for the attempt `origin` of a peer.
    };

    struct Attempt {
        AttemptKind kind = AttemptKind::Local;
        RequestKey request;
        ServiceId service{};
        TargetId target{};
        BalancerKey executor;
        AttemptKey origin;
        Endpoint originEndpoint;
        TimePoint started;
        bool holdsSlot = false;
        AnswerAssembly assembly;
    };

    enum class TimerKind : std::uint8_t {
        RequestDeadline,
        SlotHold,
        AttemptEnd,
    };

    struct Timer {
        TimePoint at;
        TimerKind kind = TimerKind::RequestDeadline;
        std::uint64_t serial = 0; // Of the attempt.
        RequestKey request; // Of the deadline.

        auto operator<=>(const Timer &) const = default;
    };

    static constexpr double InitialMeanMicroseconds = 50'000;
    static constexpr double MeanServiceTimeGain = 0.05;

    ServiceState *findService(ServiceId service);
    void queueOrShed(TimePoint now, RequestKey key, Pending &pending, ServiceState &state);
    Duration estimateWait(TimePoint now, const ServiceState &state) const;
    Duration retryAfter(TimePoint now, const ServiceState &state) const;
    void dispatchQueued(TimePoint now, ServiceState &state);
    bool dispatch(TimePoint now, RequestKey key, Pending &pending, ServiceState &state);
    void sendAttempt(TimePoint now, RequestKey key, Pending &pending, Target &target, const ServiceState &state);
    void acquireSlot(TimePoint now, Attempt &attempt, std::uint64_t serial, Target &target, const ServiceState &state);
    void startAttemptTimeout(TimePoint now, const Pending &pending, std::uint64_t serial, const ServiceState &state);
    bool offload(TimePoint now, RequestKey key, Pending &pending, ServiceState &state);
    Peer *choosePeer(ServiceId service, std::uint64_t salt, bool mayProbe);

    void completeAttempt(TimePoint now, std::uint64_t serial, Attempt &attempt);
    void retryOrRefuse(TimePoint now, RequestKey key, Pending &pending, RefusalReason reason);
    void refuse(TimePoint now, RequestKey key, RefusalReason reason, Duration retryAfter);
    void complete(TimePoint now, RequestKey key, std::vector<Message> messages);
    void cancelAttempt(std::uint64_t serial);
    void releaseSlot(Attempt &attempt);
    void onSlotHoldTimeout(TimePoint now, std::uint64_t serial);
    void onRequestDeadline(TimePoint now, RequestKey key);
    void failAttempt(TimePoint now, std::uint64_t serial);
    void onAttemptTimeout(TimePoint now, std::uint64_t serial);
    void runTimers(TimePoint now);
    void resetProbes();
    void assignSlots(TimePoint now);

    BalancerContext &m_context;
    std::unordered_map<std::uint16_t, ServiceState> m_services; // Keyed by service.
    std::unordered_map<RequestKey, Pending, RequestKeyHash> m_pending;
    std::unordered_map<std::uint64_t, Attempt> m_attempts;
    OffloadDeduplicator m_offloadDeduplicator;
    std::priority_queue<Timer, std::vector<Timer>, std::greater<>> m_timers;
    AnswerCache m_answerCache;
    std::uint64_t m_assignedTargetVersion = 0;
    std::uint64_t m_assignedPeerVersion = 0;
    TimePoint m_slowStartUntil;
    std::uint32_t m_memberCount = 1;
};

} // namespace Robinrail

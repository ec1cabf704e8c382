// SPDX-License-Identifier: MIT
// Request engine: admission, queueing, attempts, retries and outcomes of the requests of owned flows.
//
// At most once: a request id is taken in its flow's window before anything else is done, only the owner
// takes it, and each attempt ends as answered, explicitly refused, or unresolved. "Not run" is said only
// with no unresolved attempt, and never followed by another one.
#pragma once

#include "answer_assembly.h"
#include "balancer_context.h"
#include "fair_queue.h"
#include "offload_windows.h"
#include "retry_budget.h"
#include "settled_answers.h"
#include "slot_policy.h"

#include <queue>
#include <unordered_map>

namespace Robinrail {

// Longest deadline that is honoured; a longer one is cut to this.
inline constexpr Duration MaxTimeLeft = std::chrono::seconds(60);

// A repeatable attempt without its whole answer after this many usual service times is retried elsewhere.
inline constexpr int AttemptTimeoutFactor = 8;
inline constexpr Duration MinAttemptTimeout = std::chrono::milliseconds(500);

// An attempt that has not ended after this many usual service times no longer holds its slot: the answer
// was probably lost. If it still runs, the target refuses what comes too much, and that is retried.
inline constexpr int SlotHoldFactor = 8;
inline constexpr Duration MinSlotHold = std::chrono::milliseconds(200);

// The other parts of an answer follow the first within this time, or they are lost.
inline constexpr Duration PartialAnswerTime = std::chrono::milliseconds(400);

// A balancer without any slot of its own asks this many peers in one tick without a hint that they have one.
inline constexpr int MaxProbes = 3;

// Shortest retry-after that a refusal names, and the one when no target serves at all.
inline constexpr Duration MinRetryAfter = std::chrono::milliseconds(50);
inline constexpr Duration NoTargetRetryAfter = std::chrono::seconds(1);

template<SlotPolicy Policy>
class RequestEngine
{
public:
    explicit RequestEngine(BalancerContext &context);

    // Takes the services of a bundle. Queues and budgets of services that stay are kept.
    void applyServices(std::span<const ServiceSettings> services);
    bool knowsService(ServiceId service) const;

    // Takes a request of an owned flow; its answer or refusal goes to the outbox now or later.
    void accept(TimePoint now, FlowId flowId, Endpoint caller, const Request &request);

    // Sends the final answer of a settled request again; false if it is not held.
    bool resend(RequestKey key, Endpoint caller);
    bool isPending(RequestKey key) const;

    // Refuses a request without any state, in the one way that is true whatever became of it.
    void refuseOutcomeUnknown(FlowId flow, Endpoint caller, RequestId request, RefusalReason reason);

    void cancel(TimePoint now, RequestKey key);

    // Answers of targets and peers to attempts of this balancer.
    void handleRunPart(TimePoint now, const RunPart &part);
    void handleRunRefused(TimePoint now, const RunRefused &refusal);

    // A peer asks to run an attempt here, or to stop one.
    void handleOffload(TimePoint now, Endpoint peer, const OffloadRequest &offload);
    void cancelHosted(const CancelRun &cancel);

    void recordFreeSlots(TimePoint now, BalancerId peer, ServiceId service, std::uint16_t freeSlots);
    void onPeerLost(TimePoint now, BalancerKey peer);
    void onTargetLost(TimePoint now, TargetId target);

    // Deals slots anew if members or targets changed, and runs what was due.
    void tick(TimePoint now);

    // Free slots that a peer may ask for: none while requests of this balancer wait.
    std::uint16_t offloadableSlots(ServiceId service, TimePoint now) const;

    // Whether no request waits or runs here, for itself or for a peer.
    bool idle() const;
    std::size_t queued(ServiceId service) const;

private:
    struct ServiceState {
        ServiceSettings settings;
        FairQueue<RequestKey> queue;
        RetryBudget budget;
        double meanMicroseconds = InitialMeanMicroseconds; // Moving average, microseconds.

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
        std::uint64_t attempt = 0; // The running one; 0 while queued.
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
    std::unordered_map<std::uint16_t, ServiceState> m_services; // By service.
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

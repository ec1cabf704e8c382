// SPDX-License-Identifier: MIT
// Request engine: admission, queueing and completion of requests, and timers. Attempts are in request_attempts.cpp.
#include "request_engine.h"

#include "hash.h"
#include "target_choice.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace Robinrail {

namespace {

// Outcome of a refused request: NotRun only if it is certain that no target ran it.
Outcome outcomeOf(bool provenNotRun, bool repeatable, RefusalReason reason)
{
    if (provenNotRun) {
        return Outcome::NotRun;
    }
    return repeatable && reason == RefusalReason::Deadline ? Outcome::DeadlinePassed : Outcome::OutcomeUnknown;
}

} // namespace

template<SlotPolicy Policy>
RequestEngine<Policy>::RequestEngine(BalancerContext &context)
    : m_context(context)
{
}

template<SlotPolicy Policy>
void RequestEngine<Policy>::applyServices(std::span<const ServiceSettings> services)
{
    std::unordered_map<std::uint16_t, ServiceState> states;
    for (const ServiceSettings &settings : services) {
        ServiceState &state = states[value(settings.id)];
        if (ServiceState *known = findService(settings.id); known != nullptr) {
            state = std::move(*known);
        } else {
            state.budget = RetryBudget(settings.retryRatio);
        }
        state.settings = settings;
    }
    m_services = std::move(states);
}

template<SlotPolicy Policy>
bool RequestEngine<Policy>::knowsService(ServiceId service) const
{
    return m_services.contains(value(service));
}

// ---- Admission ----

template<SlotPolicy Policy>
void RequestEngine<Policy>::accept(TimePoint now, FlowId flowId, Endpoint caller, const Request &request)
{
    Flow *flow = m_context.flows.find(flowId);
    assert(flow != nullptr);
    const RequestKey key{flowId, request.request};
    if (flow->window.record(request.request) != RequestAge::Fresh) {
        ++m_context.counters.duplicatesDropped;
        if (!isPending(key) && !resend(key, caller)) {
            refuseOutcomeUnknown(flowId, caller, request.request, RefusalReason::ForgottenFlow);
        }
        return;
    }
    ++m_context.counters.requestsAccepted;
    ++flow->activeRequests;
    const Duration timeLeft = std::min(request.timeLeft, MaxTimeLeft);
    Pending &pending = m_pending[key];
    pending.service = flow->service;
    pending.caller = caller;
    pending.deadline = now + timeLeft;
    pending.repeatable = request.repeatable;
    pending.body = request.body;
    ServiceState *state = findService(flow->service);
    if (request.body.size() > MaxBodySize) {
        return refuse(now, key, RefusalReason::BadRequest, Duration::zero());
    }
    if (timeLeft <= Duration::zero()) {
        return refuse(now, key, RefusalReason::Deadline, MinRetryAfter);
    }
    if (state == nullptr || !anyServing(m_context.targets.targetsOf(flow->service), flow->service)) {
        return refuse(now, key, RefusalReason::NoTarget, NoTargetRetryAfter);
    }
    state->budget.recordRequest();
    m_timers.push({pending.deadline, TimerKind::RequestDeadline, 0, key});
    queueOrShed(now, key, pending, *state);
}

template<SlotPolicy Policy>
void RequestEngine<Policy>::queueOrShed(TimePoint now, RequestKey key, Pending &pending, ServiceState &state)
{
    const Duration limit = std::min(state.settings.maxQueueDelay, pending.deadline - now - state.meanServiceTime());
    const std::uint32_t caller = pending.caller.address;
    if (state.queue.size() > 0 && estimateWait(now, state) > limit) {
        const std::optional<RequestKey> victim = state.queue.evictFor(caller);
        const Duration pause = retryAfter(now, state);
        if (!victim) {
            return refuse(now, key, RefusalReason::Overload, pause);
        }
        refuse(now, *victim, RefusalReason::Overload, pause);
    }
    state.queue.push(caller, key);
    m_context.observe({.kind = EventKind::RequestQueued, .at = now, .service = pending.service, .flow = key.flow, .request = key.request});
    dispatchQueued(now, state);
}

template<SlotPolicy Policy>
Duration RequestEngine<Policy>::estimateWait(TimePoint now, const ServiceState &state) const
{
    const std::span<const Target> targets = m_context.targets.targetsOf(state.settings.id);
    std::uint32_t share = std::max(1U, countAssignedSlots(targets, state.settings.id));
    if (Policy::OffloadsToPeers) {
        // Requests queued here can be offloaded to any balancer, so having few own slots does not by itself mean a long wait.
        share = std::max(share, countUsableSlots(targets, state.settings.id, now) / m_memberCount);
    }
    return Duration(static_cast<std::int64_t>(static_cast<double>(state.queue.size()) * state.meanMicroseconds / share));
}

template<SlotPolicy Policy>
Duration RequestEngine<Policy>::retryAfter(TimePoint now, const ServiceState &state) const
{
    return std::max(MinRetryAfter, estimateWait(now, state));
}

template<SlotPolicy Policy>
void RequestEngine<Policy>::refuseOutcomeUnknown(FlowId flow, Endpoint caller, RequestId request, RefusalReason reason)
{
    ++m_context.counters.outcomes[static_cast<std::size_t>(Outcome::OutcomeUnknown)];
    m_context.send(caller, Refusal{flow, request, Outcome::OutcomeUnknown, reason, Duration::zero()});
}

template<SlotPolicy Policy>
bool RequestEngine<Policy>::resend(RequestKey key, Endpoint caller)
{
    const std::span<const Message> messages = m_answerCache.find(key);
    for (const Message &message : messages) {
        m_context.send(caller, message);
    }
    return !messages.empty();
}

template<SlotPolicy Policy>
bool RequestEngine<Policy>::isPending(RequestKey key) const
{
    return m_pending.contains(key);
}

// ---- Completion ----

template<SlotPolicy Policy>
void RequestEngine<Policy>::refuse(TimePoint now, RequestKey key, RefusalReason reason, Duration retryAfter)
{
    const auto at = m_pending.find(key);
    if (at == m_pending.end()) {
        return;
    }
    const Pending &pending = at->second;
    if (pending.attempt != 0) {
        cancelAttempt(pending.attempt);
    }
    const Outcome outcome = outcomeOf(pending.unresolvedAttempts == 0, pending.repeatable, reason);
    ++m_context.counters.outcomes[static_cast<std::size_t>(outcome)];
    m_context.observe({.kind = EventKind::RequestRefused,
                       .at = now,
                       .service = pending.service,
                       .flow = key.flow,
                       .request = key.request,
                       .detail = static_cast<std::uint8_t>(outcome)});
    complete(now, key, {Refusal{key.flow, key.request, outcome, reason, retryAfter}});
}

template<SlotPolicy Policy>
void RequestEngine<Policy>::complete(TimePoint now, RequestKey key, std::vector<Message> messages)
{
    const auto at = m_pending.find(key);
    for (const Message &message : messages) {
        m_context.send(at->second.caller, message);
    }
    m_pending.erase(at);
    m_answerCache.insert(now, key, std::move(messages));
    if (Flow *flow = m_context.flows.find(key.flow); flow != nullptr) {
        assert(flow->activeRequests > 0);
        --flow->activeRequests;
        flow->lastActive = CoarseTime(now);
    }
}

template<SlotPolicy Policy>
void RequestEngine<Policy>::cancel(TimePoint now, RequestKey key)
{
    refuse(now, key, RefusalReason::Cancelled, Duration::zero());
}

template<SlotPolicy Policy>
void RequestEngine<Policy>::cancelAttempt(std::uint64_t serial)
{
    const auto at = m_attempts.find(serial);
    if (at == m_attempts.end()) {
        return;
    }
    Attempt &attempt = at->second;
    const CancelRun cancel{{m_context.peers.self(), serial}};
    if (attempt.kind == AttemptKind::Offloaded) {
        if (const Peer *peer = m_context.peers.find(attempt.executor.id); peer != nullptr) {
            m_context.send(peer->endpoint, cancel);
        }
    } else if (const Target *target = m_context.targets.find(attempt.target); target != nullptr) {
        m_context.send(target->announcement.endpoint, cancel);
    }
    releaseSlot(attempt);
    m_attempts.erase(at);
}

template<SlotPolicy Policy>
void RequestEngine<Policy>::releaseSlot(Attempt &attempt)
{
    if (!std::exchange(attempt.holdsSlot, false)) {
        return;
    }
    if (Target *target = m_context.targets.find(attempt.target); target != nullptr) {
        assert(target->running > 0);
        --target->running;
    }
}

template<SlotPolicy Policy>
void RequestEngine<Policy>::failAttempt(TimePoint now, std::uint64_t serial)
{
    const Attempt &attempt = m_attempts.at(serial);
    const RequestKey key = attempt.request;
    const TargetId target = attempt.target;
    const bool hosted = attempt.kind == AttemptKind::Hosted;
    cancelAttempt(serial);
    if (hosted) {
        return;
    }
    Pending &pending = m_pending.at(key);
    pending.attempt = 0;
    pending.avoid.push_back(target);
    if (pending.repeatable) {
        retryOrRefuse(now, key, pending, RefusalReason::TargetLost);
    } else {
        refuse(now, key, RefusalReason::TargetLost, MinRetryAfter);
    }
}

template<SlotPolicy Policy>
void RequestEngine<Policy>::onAttemptTimeout(TimePoint now, std::uint64_t serial)
{
    if (m_attempts.contains(serial)) {
        failAttempt(now, serial);
    }
}

template<SlotPolicy Policy>
void RequestEngine<Policy>::onPeerLost(TimePoint now, BalancerKey peer)
{
    std::vector<std::uint64_t> lost;
    for (const auto &[serial, attempt] : m_attempts) {
        if (attempt.kind == AttemptKind::Offloaded && attempt.executor == peer) {
            lost.push_back(serial);
        }
    }
    std::sort(lost.begin(), lost.end());
    for (const std::uint64_t serial : lost) {
        if (m_attempts.contains(serial)) {
            failAttempt(now, serial);
        }
    }
}

template<SlotPolicy Policy>
void RequestEngine<Policy>::onTargetLost(TimePoint now, TargetId target)
{
    std::vector<std::uint64_t> lost;
    for (const auto &[serial, attempt] : m_attempts) {
        if (attempt.kind != AttemptKind::Offloaded && attempt.target == target) {
            lost.push_back(serial);
        }
    }
    std::sort(lost.begin(), lost.end());
    for (const std::uint64_t serial : lost) {
        if (m_attempts.contains(serial)) {
            failAttempt(now, serial);
        }
    }
}

// ---- Timers and slot assignment ----

template<SlotPolicy Policy>
void RequestEngine<Policy>::tick(TimePoint now)
{
    assignSlots(now);
    runTimers(now);
    m_answerCache.expire(now);
    if (Policy::OffloadsToPeers) {
        resetProbes();
    }
    for (auto &[service, state] : m_services) {
        if (state.queue.size() > 0) {
            dispatchQueued(now, state);
        }
    }
}

// A balancer without slots of its own, for example while it is stopping, depends on its peers; asking them once per tick suffices.
template<SlotPolicy Policy>
void RequestEngine<Policy>::resetProbes()
{
    for (auto &[key, pending] : m_pending) {
        if (pending.attempt == 0 && countAssignedSlots(m_context.targets.targetsOf(pending.service), pending.service) == 0) {
            pending.probes = 0;
        }
    }
}

template<SlotPolicy Policy>
void RequestEngine<Policy>::runTimers(TimePoint now)
{
    while (!m_timers.empty() && m_timers.top().at <= now) {
        const Timer timer = m_timers.top();
        m_timers.pop();
        switch (timer.kind) {
        case TimerKind::RequestDeadline:
            onRequestDeadline(now, timer.request);
            break;
        case TimerKind::SlotHold:
            onSlotHoldTimeout(now, timer.serial);
            break;
        case TimerKind::AttemptEnd:
            onAttemptTimeout(now, timer.serial);
            break;
        }
    }
}

template<SlotPolicy Policy>
void RequestEngine<Policy>::onRequestDeadline(TimePoint now, RequestKey key)
{
    refuse(now, key, RefusalReason::Deadline, MinRetryAfter);
}

template<SlotPolicy Policy>
void RequestEngine<Policy>::onSlotHoldTimeout(TimePoint now, std::uint64_t serial)
{
    const auto at = m_attempts.find(serial);
    if (at == m_attempts.end()) {
        return;
    }
    if (Target *target = m_context.targets.find(at->second.target); target != nullptr) {
        recordNoAnswer(*target);
    }
    releaseSlot(at->second);
    if (ServiceState *state = findService(at->second.service); state != nullptr) {
        dispatchQueued(now, *state);
    }
}

template<SlotPolicy Policy>
void RequestEngine<Policy>::assignSlots(TimePoint now)
{
    const bool changed = m_assignedTargetVersion != m_context.targets.version() || m_assignedPeerVersion != m_context.peers.version();
    if (!changed && now > m_slowStartUntil && !std::is_same_v<Policy, OptimisticSlots>) {
        return;
    }
    m_assignedTargetVersion = m_context.targets.version();
    m_assignedPeerVersion = m_context.peers.version();
    m_slowStartUntil = changed ? now + SlowStartTime + HeartbeatInterval : m_slowStartUntil;
    const std::vector<PeerTable::Member> members = m_context.peers.members();
    m_memberCount = std::max<std::uint32_t>(1, static_cast<std::uint32_t>(members.size()));
    std::unordered_map<std::uint16_t, std::vector<Target *>> byService;
    for (Target &target : m_context.targets.targets()) {
        target.assignedSlots = 0;
        if (target.state == TargetState::Serving) {
            byService[value(target.announcement.service)].push_back(&target);
        }
    }
    for (auto &[service, targets] : byService) {
        Policy::assignSlots(targets, members, m_context.peers.self().id, now);
    }
}

template<SlotPolicy Policy>
std::uint16_t RequestEngine<Policy>::offloadableSlots(ServiceId service, TimePoint now) const
{
    if (!Policy::OffloadsToPeers || m_context.peers.stopping() || queued(service) > 0) {
        return 0;
    }
    return static_cast<std::uint16_t>(countFreeSlots(m_context.targets.targetsOf(service), service, now));
}

template<SlotPolicy Policy>
bool RequestEngine<Policy>::idle() const
{
    return m_pending.empty() && m_attempts.empty();
}

template<SlotPolicy Policy>
std::size_t RequestEngine<Policy>::queued(ServiceId service) const
{
    const auto state = m_services.find(value(service));
    return state != m_services.end() ? state->second.queue.size() : 0;
}

template<SlotPolicy Policy>
typename RequestEngine<Policy>::ServiceState *RequestEngine<Policy>::findService(ServiceId service)
{
    const auto state = m_services.find(value(service));
    return state != m_services.end() ? &state->second : nullptr;
}

template class RequestEngine<OptimisticSlots>;
template class RequestEngine<PartitionedTargets>;
template class RequestEngine<PartitionedSlotsNoOffload>;
template class RequestEngine<PartitionedSlots>;

} // namespace Robinrail

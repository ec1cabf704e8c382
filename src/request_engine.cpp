// SPDX-License-Identifier: MIT
// Request engine: requests, from their admission to their final answer. Their attempts are in request_attempts.cpp.
#include "request_engine.h"

#include "hash.h"
#include "target_choice.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace Robinrail {

namespace {

// What may be said of a request that is given up: "not run" only if nothing can have run it.
Outcome outcomeOf(bool surelyNotRun, bool repeatable, RefusalReason reason)
{
    if (surelyNotRun) {
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
    std::unordered_map<std::uint16_t, ServiceLine> lines;
    for (const ServiceSettings &settings : services) {
        ServiceLine &line = lines[value(settings.id)];
        if (ServiceLine *known = lineOf(settings.id); known != nullptr) {
            line = std::move(*known);
        } else {
            line.budget = RetryBudget(settings.retryRatio);
        }
        line.settings = settings;
    }
    m_lines = std::move(lines);
}

template<SlotPolicy Policy>
bool RequestEngine<Policy>::knowsService(ServiceId service) const
{
    return m_lines.contains(value(service));
}

// ---- Admission ----

template<SlotPolicy Policy>
void RequestEngine<Policy>::accept(TimePoint now, FlowId flowId, Endpoint caller, const Request &request)
{
    Flow *flow = m_context.flows.find(flowId);
    assert(flow != nullptr);
    const RequestKey key{flowId, request.request};
    if (flow->window.take(request.request) != RequestAge::Fresh) {
        ++m_context.counters.duplicatesDropped;
        if (!isPending(key) && !resend(key, caller)) {
            refuseUncertain(flowId, caller, request.request, RefusalReason::ForgottenFlow);
        }
        return;
    }
    ++m_context.counters.requestsAccepted;
    ++flow->busy;
    const Duration timeLeft = std::min(request.timeLeft, MaxTimeLeft);
    Pending &pending = m_pending[key];
    pending.service = flow->service;
    pending.caller = caller;
    pending.deadline = now + timeLeft;
    pending.repeatable = request.repeatable;
    pending.body = request.body;
    ServiceLine *line = lineOf(flow->service);
    if (request.body.size() > MaxBodySize) {
        return giveUp(now, key, RefusalReason::BadRequest, Duration::zero());
    }
    if (timeLeft <= Duration::zero()) {
        return giveUp(now, key, RefusalReason::Deadline, MinRetryAfter);
    }
    if (line == nullptr || !anyServing(m_context.targets.targetsOf(flow->service), flow->service)) {
        return giveUp(now, key, RefusalReason::NoTarget, NoTargetRetryAfter);
    }
    line->budget.recordRequest();
    m_timers.push({pending.deadline, TimerKind::RequestDeadline, 0, key});
    queueOrShed(now, key, pending, *line);
}

template<SlotPolicy Policy>
void RequestEngine<Policy>::queueOrShed(TimePoint now, RequestKey key, Pending &pending, ServiceLine &line)
{
    const Duration limit = std::min(line.settings.maxQueueDelay, pending.deadline - now - line.usualTime());
    const std::uint32_t caller = pending.caller.address;
    if (line.queue.size() > 0 && estimateWait(now, line) > limit) {
        const std::optional<RequestKey> victim = line.queue.evictFor(caller);
        const Duration pause = retryAfter(now, line);
        if (!victim) {
            return giveUp(now, key, RefusalReason::Overload, pause);
        }
        giveUp(now, *victim, RefusalReason::Overload, pause);
    }
    line.queue.push(caller, key);
    m_context.observe({.kind = EventKind::RequestQueued, .at = now, .service = pending.service, .flow = key.flow, .request = key.request});
    pump(now, line);
}

template<SlotPolicy Policy>
Duration RequestEngine<Policy>::estimateWait(TimePoint now, const ServiceLine &line) const
{
    const std::span<const Target> targets = m_context.targets.targetsOf(line.settings.id);
    std::uint32_t share = std::max(1U, countAssignedSlots(targets, line.settings.id));
    if (Policy::OffloadsToPeers) {
        // What waits here may run at any balancer, so a small own share alone does not mean a long wait.
        share = std::max(share, countUsableSlots(targets, line.settings.id, now) / m_memberCount);
    }
    return Duration(static_cast<std::int64_t>(static_cast<double>(line.queue.size()) * line.serviceTime / share));
}

template<SlotPolicy Policy>
Duration RequestEngine<Policy>::retryAfter(TimePoint now, const ServiceLine &line) const
{
    return std::max(MinRetryAfter, estimateWait(now, line));
}

template<SlotPolicy Policy>
void RequestEngine<Policy>::refuseUncertain(FlowId flow, Endpoint caller, RequestId request, RefusalReason reason)
{
    ++m_context.counters.outcomes[static_cast<std::size_t>(Outcome::OutcomeUnknown)];
    m_context.send(caller, Refusal{flow, request, Outcome::OutcomeUnknown, reason, Duration::zero()});
}

template<SlotPolicy Policy>
bool RequestEngine<Policy>::resend(RequestKey key, Endpoint caller)
{
    const std::span<const Message> messages = m_settled.find(key);
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

// ---- Ends ----

template<SlotPolicy Policy>
void RequestEngine<Policy>::giveUp(TimePoint now, RequestKey key, RefusalReason reason, Duration retryAfter)
{
    const auto at = m_pending.find(key);
    if (at == m_pending.end()) {
        return;
    }
    const Pending &pending = at->second;
    if (pending.attempt != 0) {
        abandonAttempt(pending.attempt);
    }
    const Outcome outcome = outcomeOf(pending.unresolvedAttempts == 0, pending.repeatable, reason);
    ++m_context.counters.outcomes[static_cast<std::size_t>(outcome)];
    m_context.observe({.kind = EventKind::RequestRefused,
                       .at = now,
                       .service = pending.service,
                       .flow = key.flow,
                       .request = key.request,
                       .detail = static_cast<std::uint8_t>(outcome)});
    settle(now, key, {Refusal{key.flow, key.request, outcome, reason, retryAfter}});
}

template<SlotPolicy Policy>
void RequestEngine<Policy>::settle(TimePoint now, RequestKey key, std::vector<Message> messages)
{
    const auto at = m_pending.find(key);
    for (const Message &message : messages) {
        m_context.send(at->second.caller, message);
    }
    m_pending.erase(at);
    m_settled.remember(now, key, std::move(messages));
    if (Flow *flow = m_context.flows.find(key.flow); flow != nullptr) {
        assert(flow->busy > 0);
        --flow->busy;
        flow->lastActive = CoarseTime(now);
    }
}

template<SlotPolicy Policy>
void RequestEngine<Policy>::cancel(TimePoint now, RequestKey key)
{
    giveUp(now, key, RefusalReason::Cancelled, Duration::zero());
}

template<SlotPolicy Policy>
void RequestEngine<Policy>::abandonAttempt(std::uint64_t serial)
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
void RequestEngine<Policy>::attemptLost(TimePoint now, std::uint64_t serial)
{
    const Attempt &attempt = m_attempts.at(serial);
    const RequestKey key = attempt.request;
    const TargetId target = attempt.target;
    const bool hosted = attempt.kind == AttemptKind::Hosted;
    abandonAttempt(serial);
    if (hosted) {
        return;
    }
    Pending &pending = m_pending.at(key);
    pending.attempt = 0;
    pending.avoid.push_back(target);
    if (pending.repeatable) {
        retryOrRefuse(now, key, pending, RefusalReason::TargetLost);
    } else {
        giveUp(now, key, RefusalReason::TargetLost, MinRetryAfter);
    }
}

template<SlotPolicy Policy>
void RequestEngine<Policy>::attemptExpired(TimePoint now, std::uint64_t serial)
{
    if (m_attempts.contains(serial)) {
        attemptLost(now, serial);
    }
}

template<SlotPolicy Policy>
void RequestEngine<Policy>::peerGone(TimePoint now, BalancerKey peer)
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
            attemptLost(now, serial);
        }
    }
}

template<SlotPolicy Policy>
void RequestEngine<Policy>::targetLost(TimePoint now, TargetId target)
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
            attemptLost(now, serial);
        }
    }
}

// ---- Time ----

template<SlotPolicy Policy>
void RequestEngine<Policy>::tick(TimePoint now)
{
    deal(now);
    runTimers(now);
    m_settled.expire(now);
    if (Policy::OffloadsToPeers) {
        renewProbes();
    }
    for (auto &[service, line] : m_lines) {
        if (line.queue.size() > 0) {
            pump(now, line);
        }
    }
}

// A balancer without any slot of its own, as while it stops, can only go on asking; once a tick is enough.
template<SlotPolicy Policy>
void RequestEngine<Policy>::renewProbes()
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
            deadlineOver(now, timer.request);
            break;
        case TimerKind::SlotHold:
            slotHoldOver(now, timer.serial);
            break;
        case TimerKind::AttemptEnd:
            attemptExpired(now, timer.serial);
            break;
        }
    }
}

template<SlotPolicy Policy>
void RequestEngine<Policy>::deadlineOver(TimePoint now, RequestKey key)
{
    giveUp(now, key, RefusalReason::Deadline, MinRetryAfter);
}

template<SlotPolicy Policy>
void RequestEngine<Policy>::slotHoldOver(TimePoint now, std::uint64_t serial)
{
    const auto at = m_attempts.find(serial);
    if (at == m_attempts.end()) {
        return;
    }
    if (Target *target = m_context.targets.find(at->second.target); target != nullptr) {
        recordNoAnswer(*target);
    }
    releaseSlot(at->second);
    if (ServiceLine *line = lineOf(at->second.service); line != nullptr) {
        pump(now, *line);
    }
}

template<SlotPolicy Policy>
void RequestEngine<Policy>::deal(TimePoint now)
{
    const bool changed = m_dealtTargets != m_context.targets.version() || m_dealtPeers != m_context.peers.version();
    if (!changed && now > m_warmUntil && !std::is_same_v<Policy, OptimisticSlots>) {
        return;
    }
    m_dealtTargets = m_context.targets.version();
    m_dealtPeers = m_context.peers.version();
    m_warmUntil = changed ? now + SlowStartTime + HeartbeatInterval : m_warmUntil;
    const std::vector<PeerTable::Member> members = m_context.peers.members();
    m_memberCount = std::max<std::uint32_t>(1, static_cast<std::uint32_t>(members.size()));
    std::unordered_map<std::uint16_t, std::vector<Target *>> byService;
    for (Target &target : m_context.targets.targets()) {
        target.share = 0;
        if (target.state == TargetState::Serving) {
            byService[value(target.announcement.service)].push_back(&target);
        }
    }
    for (auto &[service, targets] : byService) {
        Policy::deal(targets, members, m_context.peers.self().id, now);
    }
}

template<SlotPolicy Policy>
std::uint16_t RequestEngine<Policy>::spareSlots(ServiceId service, TimePoint now) const
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
    const auto line = m_lines.find(value(service));
    return line != m_lines.end() ? line->second.queue.size() : 0;
}

template<SlotPolicy Policy>
typename RequestEngine<Policy>::ServiceLine *RequestEngine<Policy>::lineOf(ServiceId service)
{
    const auto line = m_lines.find(value(service));
    return line != m_lines.end() ? &line->second : nullptr;
}

template class RequestEngine<OptimisticSlots>;
template class RequestEngine<PartitionedTargets>;
template class RequestEngine<PartitionedSlotsNoOffload>;
template class RequestEngine<PartitionedSlots>;

} // namespace Robinrail

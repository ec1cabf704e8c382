// SPDX-License-Identifier: MIT
// Request engine: attempts at targets, attempts offloaded to peers, and attempts hosted for peers.
#include "request_engine.h"

#include "hash.h"
#include "target_choice.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace Robinrail {

// ---- Dispatch ----

template<SlotPolicy Policy>
void RequestEngine<Policy>::dispatchQueued(TimePoint now, ServiceState &state)
{
    while (const std::optional<RequestKey> key = state.queue.pop()) {
        const auto at = m_pending.find(*key);
        if (at == m_pending.end()) {
            continue; // Completed while it was queued.
        }
        if (!dispatch(now, *key, at->second, state)) {
            state.queue.pushFront(at->second.caller.address, *key);
            return;
        }
    }
}

template<SlotPolicy Policy>
bool RequestEngine<Policy>::dispatch(TimePoint now, RequestKey key, Pending &pending, ServiceState &state)
{
    Target *target = chooseAttemptTarget(m_context.targets.targetsOf(pending.service), pending.service, pending.avoid, now);
    if (target != nullptr) {
        sendAttempt(now, key, pending, *target, state);
        return true;
    }
    return Policy::OffloadsToPeers && offload(now, key, pending, state);
}

template<SlotPolicy Policy>
void RequestEngine<Policy>::sendAttempt(TimePoint now, RequestKey key, Pending &pending, Target &target, const ServiceState &state)
{
    const AttemptKey attempt = m_context.nextAttempt();
    Attempt &record = m_attempts[attempt.serial];
    record.request = key;
    record.service = pending.service;
    pending.attempt = attempt.serial;
    ++pending.unresolvedAttempts;
    acquireSlot(now, record, attempt.serial, target, state);
    startAttemptTimeout(now, pending, attempt.serial, state);
    m_context.send(target.announcement.endpoint, RunRequest{attempt, pending.deadline - now, pending.body});
    m_context.observe({.kind = EventKind::RequestSent, .at = now, .service = pending.service, .flow = key.flow, .request = key.request, .target = target.id()});
}

// Takes a slot of the target for an attempt.
template<SlotPolicy Policy>
void RequestEngine<Policy>::acquireSlot(TimePoint now, Attempt &attempt, std::uint64_t serial, Target &target, const ServiceState &state)
{
    attempt.target = target.id();
    attempt.started = now;
    attempt.holdsSlot = true;
    ++target.running;
    target.lastAttempt = serial;
    ++m_context.counters.attemptsSent;
    m_timers.push({now + std::max(MinSlotHold, state.meanServiceTime() * SlotHoldFactor), TimerKind::SlotHold, serial, {}});
}

// Only repeatable requests time out before their deadline, as they can be retried at another target.
template<SlotPolicy Policy>
void RequestEngine<Policy>::startAttemptTimeout(TimePoint now, const Pending &pending, std::uint64_t serial, const ServiceState &state)
{
    if (pending.repeatable) {
        m_timers.push({now + std::max(MinAttemptTimeout, state.meanServiceTime() * AttemptTimeoutFactor), TimerKind::AttemptEnd, serial, {}});
    }
}

template<SlotPolicy Policy>
bool RequestEngine<Policy>::offload(TimePoint now, RequestKey key, Pending &pending, ServiceState &state)
{
    const bool mayProbe = pending.probes < MaxProbes && countAssignedSlots(m_context.targets.targetsOf(pending.service), pending.service) == 0;
    Peer *peer = choosePeer(pending.service, m_context.lastSerial, mayProbe);
    if (peer == nullptr) {
        return false;
    }
    std::uint16_t &hint = peer->freeSlots[value(pending.service)];
    pending.probes += hint > 0 ? 0 : 1;
    hint -= hint > 0 ? 1 : 0;
    const AttemptKey attempt = m_context.nextAttempt();
    Attempt &record = m_attempts[attempt.serial];
    record.kind = AttemptKind::Offloaded;
    record.request = key;
    record.service = pending.service;
    record.executor = peer->key();
    record.started = now;
    pending.attempt = attempt.serial;
    ++pending.unresolvedAttempts;
    ++m_context.counters.attemptsOffloaded;
    startAttemptTimeout(now, pending, attempt.serial, state);
    m_context.send(peer->endpoint, OffloadRequest{attempt, peer->key(), pending.service, pending.deadline - now, pending.body});
    m_context.observe({.kind = EventKind::RequestOffloaded, .at = now, .service = pending.service, .flow = key.flow, .request = key.request, .peer = peer->id});
    return true;
}

template<SlotPolicy Policy>
Peer *RequestEngine<Policy>::choosePeer(ServiceId service, std::uint64_t salt, bool mayProbe)
{
    Peer *best = nullptr;
    std::pair<std::uint16_t, std::uint64_t> bestRank;
    for (Peer &peer : m_context.peers.peers()) {
        const std::uint16_t hint = peer.freeSlots[value(service)];
        if (!peer.alive || peer.stopping || (hint == 0 && !mayProbe)) {
            continue;
        }
        const std::pair rank(hint, hashPair(salt, value(peer.id)));
        if (best == nullptr || rank > bestRank) {
            best = &peer;
            bestRank = rank;
        }
    }
    return best;
}

// ---- Attempts hosted for peers ----

template<SlotPolicy Policy>
void RequestEngine<Policy>::handleOffload(TimePoint now, Endpoint peer, const OffloadRequest &offload)
{
    if (offload.executor != m_context.peers.self() || !m_offloadDeduplicator.recordIfNew(now, offload.attempt)) {
        return;
    }
    ServiceState *state = findService(offload.service);
    Target *target = state != nullptr ? chooseAttemptTarget(m_context.targets.targetsOf(offload.service), offload.service, {}, now) : nullptr;
    const bool busy = target == nullptr || state->queue.size() > 0;
    if (busy || m_context.peers.stopping() || offload.timeLeft <= Duration::zero()) {
        m_context.send(peer, RunRefused{offload.attempt});
        return;
    }
    const AttemptKey attempt = m_context.nextAttempt();
    Attempt &record = m_attempts[attempt.serial];
    record.kind = AttemptKind::Hosted;
    record.service = offload.service;
    record.origin = offload.attempt;
    record.originEndpoint = peer;
    acquireSlot(now, record, attempt.serial, *target, *state);
    m_timers.push({now + std::min(offload.timeLeft, MaxTimeLeft), TimerKind::AttemptEnd, attempt.serial, {}});
    m_context.send(target->announcement.endpoint, RunRequest{attempt, offload.timeLeft, offload.body});
}

template<SlotPolicy Policy>
void RequestEngine<Policy>::cancelHosted(const CancelRun &cancel)
{
    for (auto &[serial, attempt] : m_attempts) {
        if (attempt.kind == AttemptKind::Hosted && attempt.origin == cancel.attempt) {
            return cancelAttempt(serial);
        }
    }
}

template<SlotPolicy Policy>
void RequestEngine<Policy>::recordFreeSlots(TimePoint now, BalancerId peer, ServiceId service, std::uint16_t freeSlots)
{
    if (Peer *known = m_context.peers.find(peer); known != nullptr) {
        known->freeSlots[value(service)] = freeSlots;
    }
    if (ServiceState *state = findService(service); freeSlots > 0 && state != nullptr && state->queue.size() > 0) {
        dispatchQueued(now, *state);
    }
}

// ---- Answers and refusals of targets ----

template<SlotPolicy Policy>
void RequestEngine<Policy>::handleRunPart(TimePoint now, const RunPart &part)
{
    const auto at = m_attempts.find(part.attempt.serial);
    if (at == m_attempts.end()) {
        return; // Late: the attempt was cancelled or is complete.
    }
    Attempt &attempt = at->second;
    const PartEffect effect = attempt.assembly.add(part.index, part.count, part.body);
    if (effect == PartEffect::Ignored) {
        return;
    }
    if (attempt.kind == AttemptKind::Hosted) {
        m_context.send(attempt.originEndpoint, RunPart{attempt.origin, part.index, part.count, part.body});
    }
    if (effect == PartEffect::Completed) {
        return completeAttempt(now, part.attempt.serial, attempt);
    }
    const auto pending = m_pending.find(attempt.request);
    if (attempt.kind != AttemptKind::Hosted && pending != m_pending.end() && pending->second.repeatable) {
        m_timers.push({now + PartialAnswerTime, TimerKind::AttemptEnd, part.attempt.serial, {}});
    }
}

template<SlotPolicy Policy>
void RequestEngine<Policy>::completeAttempt(TimePoint now, std::uint64_t serial, Attempt &attempt)
{
    ServiceState *state = findService(attempt.service);
    if (Target *target = m_context.targets.find(attempt.target); target != nullptr) {
        recordAnswer(*target);
    }
    releaseSlot(attempt);
    if (attempt.kind != AttemptKind::Hosted) {
        const RequestKey key = attempt.request;
        const auto pending = m_pending.find(key);
        assert(pending != m_pending.end() && pending->second.attempt == serial);
        if (Peer *executor = m_context.peers.find(attempt.executor.id); executor != nullptr && attempt.kind == AttemptKind::Offloaded) {
            // The executor's slot has just become free.
            ++executor->freeSlots[value(attempt.service)];
        }
        if (state != nullptr) {
            const auto took = static_cast<double>((now - attempt.started).count());
            state->meanMicroseconds += MeanServiceTimeGain * (took - state->meanMicroseconds);
        }
        std::vector<Message> messages;
        std::vector<Bytes> &parts = attempt.assembly.parts();
        const auto count = static_cast<std::uint16_t>(parts.size());
        for (std::uint16_t index = 0; index < count; ++index) {
            messages.emplace_back(AnswerPart{key.flow, key.request, serial, index, static_cast<std::uint16_t>(parts.size()), std::move(parts[index])});
        }
        ++m_context.counters.outcomes[static_cast<std::size_t>(Outcome::Answered)];
        m_context.observe({.kind = EventKind::RequestAnswered,
                           .at = now,
                           .service = attempt.service,
                           .flow = key.flow,
                           .request = key.request,
                           .target = attempt.target,
                           .took = now - attempt.started});
        complete(now, key, std::move(messages));
    }
    m_attempts.erase(serial);
    if (state != nullptr) {
        dispatchQueued(now, *state);
    }
}

template<SlotPolicy Policy>
void RequestEngine<Policy>::handleRunRefused(TimePoint now, const RunRefused &refusal)
{
    const auto at = m_attempts.find(refusal.attempt.serial);
    if (at == m_attempts.end() || at->second.assembly.started()) {
        return;
    }
    Attempt attempt = std::move(at->second);
    m_attempts.erase(at);
    releaseSlot(attempt);
    if (Target *target = m_context.targets.find(attempt.target); target != nullptr && attempt.kind != AttemptKind::Offloaded) {
        ++m_context.counters.attemptsRefused;
        recordRefusal(*target, now);
    }
    if (attempt.kind == AttemptKind::Hosted) {
        m_context.send(attempt.originEndpoint, RunRefused{attempt.origin});
        return;
    }
    const auto pending = m_pending.find(attempt.request);
    assert(pending != m_pending.end());
    --pending->second.unresolvedAttempts;
    pending->second.attempt = 0;
    if (attempt.kind == AttemptKind::Offloaded) {
        recordFreeSlots(now, attempt.executor.id, attempt.service, 0);
        if (ServiceState *state = findService(attempt.service); state != nullptr) {
            state->queue.pushFront(pending->second.caller.address, attempt.request);
            dispatchQueued(now, *state);
        }
        return;
    }
    pending->second.avoid.push_back(attempt.target);
    retryOrRefuse(now, attempt.request, pending->second, RefusalReason::Overload);
}

template<SlotPolicy Policy>
void RequestEngine<Policy>::retryOrRefuse(TimePoint now, RequestKey key, Pending &pending, RefusalReason reason)
{
    ServiceState *state = findService(pending.service);
    const std::span<Target> targets = m_context.targets.targetsOf(pending.service);
    const bool hasAlternative = std::any_of(targets.begin(), targets.end(), [&pending](const Target &target) {
        const bool avoided = std::find(pending.avoid.begin(), pending.avoid.end(), target.id()) != pending.avoid.end();
        return !avoided && target.state == TargetState::Serving && target.announcement.service == pending.service;
    });
    if (state == nullptr || !hasAlternative) {
        return refuse(now, key, reason, NoTargetRetryAfter);
    }
    if (!state->budget.tryConsume()) {
        return refuse(now, key, reason, retryAfter(now, *state));
    }
    ++m_context.counters.retries;
    m_context.observe({.kind = EventKind::RequestRetried, .at = now, .service = pending.service, .flow = key.flow, .request = key.request});
    state->queue.pushFront(pending.caller.address, key);
    dispatchQueued(now, *state);
}

template class RequestEngine<OptimisticSlots>;
template class RequestEngine<PartitionedTargets>;
template class RequestEngine<PartitionedSlotsNoOffload>;
template class RequestEngine<PartitionedSlots>;

} // namespace Robinrail

// SPDX-License-Identifier: MIT
// Request engine: implementation, instantiated for each slot policy.
#include "request_engine.h"

#include "hash.h"
#include "target_choice.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace Robinrail {

namespace {

// Offloads are remembered this long, far above the longest deadline.
constexpr Duration OffloadMemory = std::chrono::seconds(120);
constexpr std::size_t OffloadPruneSize = 4096;

std::uint64_t hashOf(BalancerKey key)
{
    return hashPair(value(key.id), value(key.incarnation));
}

// What may be said of a request that is given up: "not run" only if nothing can have run it.
Outcome outcomeOf(bool surelyNotRun, bool repeatable, RefusalReason reason)
{
    if (surelyNotRun) {
        return Outcome::NotRun;
    }
    return repeatable && reason == RefusalReason::Deadline ? Outcome::DeadlinePassed : Outcome::OutcomeUnknown;
}

template<typename Line>
Duration usualTime(const Line &line)
{
    return Duration(static_cast<std::int64_t>(line.serviceTime));
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
    line->budget.noteRequest();
    m_timers.push({pending.deadline, TimerKind::RequestDeadline, 0, key});
    queueOrShed(now, key, pending, *line);
}

template<SlotPolicy Policy>
void RequestEngine<Policy>::queueOrShed(TimePoint now, RequestKey key, Pending &pending, ServiceLine &line)
{
    const Duration limit = std::min(line.settings.maxQueueDelay, pending.deadline - now - usualTime(line));
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
    std::uint32_t share = std::max(1U, countShare(targets, line.settings.id));
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

// ---- Dispatch ----

template<SlotPolicy Policy>
void RequestEngine<Policy>::pump(TimePoint now, ServiceLine &line)
{
    while (const std::optional<RequestKey> key = line.queue.pop()) {
        const auto at = m_pending.find(*key);
        if (at == m_pending.end()) {
            continue; // Settled while it waited.
        }
        if (!place(now, *key, at->second, line)) {
            line.queue.putBack(at->second.caller.address, *key);
            return;
        }
    }
}

template<SlotPolicy Policy>
bool RequestEngine<Policy>::place(TimePoint now, RequestKey key, Pending &pending, ServiceLine &line)
{
    Target *target = chooseAttemptTarget(m_context.targets.targetsOf(pending.service), pending.service, pending.avoid, now);
    if (target != nullptr) {
        sendAttempt(now, key, pending, *target, line);
        return true;
    }
    return Policy::OffloadsToPeers && offload(now, key, pending, line);
}

template<SlotPolicy Policy>
void RequestEngine<Policy>::sendAttempt(TimePoint now, RequestKey key, Pending &pending, Target &target, const ServiceLine &line)
{
    const AttemptKey attempt = m_context.nextAttempt();
    Attempt &record = m_attempts[attempt.serial];
    record.request = key;
    record.service = pending.service;
    pending.attempt = attempt.serial;
    ++pending.unresolvedAttempts;
    occupy(now, record, attempt.serial, target, line);
    limitAttempt(now, pending, attempt.serial, line);
    m_context.send(target.announcement.endpoint, RunRequest{attempt, pending.deadline - now, pending.body});
    m_context.observe({.kind = EventKind::RequestSent, .at = now, .service = pending.service, .flow = key.flow, .request = key.request, .target = target.id()});
}

// Takes a slot of the target for an attempt.
template<SlotPolicy Policy>
void RequestEngine<Policy>::occupy(TimePoint now, Attempt &attempt, std::uint64_t serial, Target &target, const ServiceLine &line)
{
    attempt.target = target.id();
    attempt.started = now;
    attempt.holdsSlot = true;
    ++target.running;
    target.lastUse = serial;
    ++m_context.counters.attemptsSent;
    m_timers.push({now + std::max(MinSlotHold, usualTime(line) * SlotHoldFactor), TimerKind::SlotHold, serial, {}});
}

// Only what may be repeated has an end before its deadline: it is tried again elsewhere.
template<SlotPolicy Policy>
void RequestEngine<Policy>::limitAttempt(TimePoint now, const Pending &pending, std::uint64_t serial, const ServiceLine &line)
{
    if (pending.repeatable) {
        m_timers.push({now + std::max(MinAttemptTimeout, usualTime(line) * AttemptTimeoutFactor), TimerKind::AttemptEnd, serial, {}});
    }
}

template<SlotPolicy Policy>
bool RequestEngine<Policy>::offload(TimePoint now, RequestKey key, Pending &pending, ServiceLine &line)
{
    const bool mayProbe = pending.probes < MaxProbes && countShare(m_context.targets.targetsOf(pending.service), pending.service) == 0;
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
    limitAttempt(now, pending, attempt.serial, line);
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

// ---- Attempts for peers ----

template<SlotPolicy Policy>
void RequestEngine<Policy>::takeOffload(TimePoint now, Endpoint peer, const OffloadRequest &offload)
{
    if (offload.executor != m_context.peers.self() || !firstTime(now, offload.attempt)) {
        return;
    }
    ServiceLine *line = lineOf(offload.service);
    Target *target = line != nullptr ? chooseAttemptTarget(m_context.targets.targetsOf(offload.service), offload.service, {}, now) : nullptr;
    const bool busy = target == nullptr || line->queue.size() > 0;
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
    occupy(now, record, attempt.serial, *target, *line);
    m_timers.push({now + std::min(offload.timeLeft, MaxTimeLeft), TimerKind::AttemptEnd, attempt.serial, {}});
    m_context.send(target->announcement.endpoint, RunRequest{attempt, offload.timeLeft, offload.body});
}

template<SlotPolicy Policy>
bool RequestEngine<Policy>::firstTime(TimePoint now, const AttemptKey &attempt)
{
    OffloadWindow &window = m_offloads[hashOf(attempt.owner)];
    if (attempt.serial <= window.floor || !window.seen.emplace(attempt.serial, now).second) {
        return false;
    }
    if (window.seen.size() > OffloadPruneSize) {
        std::erase_if(window.seen, [&window, now](const auto &entry) {
            const bool old = now - entry.second >= OffloadMemory;
            window.floor = old ? std::max(window.floor, entry.first) : window.floor;
            return old;
        });
    }
    return true;
}

template<SlotPolicy Policy>
void RequestEngine<Policy>::cancelHosted(const CancelRun &cancel)
{
    for (auto &[serial, attempt] : m_attempts) {
        if (attempt.kind == AttemptKind::Hosted && attempt.origin == cancel.attempt) {
            return abandonAttempt(serial);
        }
    }
}

template<SlotPolicy Policy>
void RequestEngine<Policy>::noteFreeSlots(TimePoint now, BalancerId peer, ServiceId service, std::uint16_t freeSlots)
{
    if (Peer *known = m_context.peers.find(peer); known != nullptr) {
        known->freeSlots[value(service)] = freeSlots;
    }
    if (ServiceLine *line = lineOf(service); freeSlots > 0 && line != nullptr && line->queue.size() > 0) {
        pump(now, *line);
    }
}

// ---- Answers and refusals of targets ----

template<SlotPolicy Policy>
void RequestEngine<Policy>::takePart(TimePoint now, const RunPart &part)
{
    const auto at = m_attempts.find(part.attempt.serial);
    if (at == m_attempts.end()) {
        return; // Late: the attempt was given up or is complete.
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
        return answer(now, part.attempt.serial, attempt);
    }
    const auto pending = m_pending.find(attempt.request);
    if (attempt.kind != AttemptKind::Hosted && pending != m_pending.end() && pending->second.repeatable) {
        m_timers.push({now + PartialAnswerTime, TimerKind::AttemptEnd, part.attempt.serial, {}});
    }
}

template<SlotPolicy Policy>
void RequestEngine<Policy>::answer(TimePoint now, std::uint64_t serial, Attempt &attempt)
{
    ServiceLine *line = lineOf(attempt.service);
    if (Target *target = m_context.targets.find(attempt.target); target != nullptr) {
        noteAnswer(*target);
    }
    releaseSlot(attempt);
    if (attempt.kind != AttemptKind::Hosted) {
        const RequestKey key = attempt.request;
        const auto pending = m_pending.find(key);
        assert(pending != m_pending.end() && pending->second.attempt == serial);
        if (Peer *executor = m_context.peers.find(attempt.executor.id); executor != nullptr && attempt.kind == AttemptKind::Offloaded) {
            // The slot that ran it has just become free.
            ++executor->freeSlots[value(attempt.service)];
        }
        if (line != nullptr) {
            const auto took = static_cast<double>((now - attempt.started).count());
            line->serviceTime += ServiceTimeGain * (took - line->serviceTime);
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
        settle(now, key, std::move(messages));
    }
    m_attempts.erase(serial);
    if (line != nullptr) {
        pump(now, *line);
    }
}

template<SlotPolicy Policy>
void RequestEngine<Policy>::takeRefusal(TimePoint now, const RunRefused &refusal)
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
        noteRefusal(*target, now);
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
        noteFreeSlots(now, attempt.executor.id, attempt.service, 0);
        if (ServiceLine *line = lineOf(attempt.service); line != nullptr) {
            line->queue.putBack(pending->second.caller.address, attempt.request);
            pump(now, *line);
        }
        return;
    }
    pending->second.avoid.push_back(attempt.target);
    retryOrRefuse(now, attempt.request, pending->second, RefusalReason::Overload);
}

template<SlotPolicy Policy>
void RequestEngine<Policy>::retryOrRefuse(TimePoint now, RequestKey key, Pending &pending, RefusalReason reason)
{
    ServiceLine *line = lineOf(pending.service);
    const std::span<Target> targets = m_context.targets.targetsOf(pending.service);
    const bool another = std::any_of(targets.begin(), targets.end(), [&pending](const Target &target) {
        const bool avoided = std::find(pending.avoid.begin(), pending.avoid.end(), target.id()) != pending.avoid.end();
        return !avoided && target.state == TargetState::Serving && target.announcement.service == pending.service;
    });
    if (line == nullptr || !another) {
        return giveUp(now, key, reason, NoTargetRetryAfter);
    }
    if (!line->budget.take()) {
        return giveUp(now, key, reason, retryAfter(now, *line));
    }
    ++m_context.counters.retries;
    m_context.observe({.kind = EventKind::RequestRetried, .at = now, .service = pending.service, .flow = key.flow, .request = key.request});
    line->queue.putBack(pending.caller.address, key);
    pump(now, *line);
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
        if (pending.attempt == 0 && countShare(m_context.targets.targetsOf(pending.service), pending.service) == 0) {
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
        noteSilence(*target);
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
    if (!changed && now > m_warmUntil && !std::is_same_v<Policy, OwnCounts>) {
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

template class RequestEngine<OwnCounts>;
template class RequestEngine<DealtTargets>;
template class RequestEngine<DealtSlotsAlone>;
template class RequestEngine<DealtSlots>;

} // namespace Robinrail

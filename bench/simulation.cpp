// SPDX-License-Identifier: MIT
// Simulation: implementation.
#include "simulation.h"

#include "datagram_authenticator.h"
#include "hash.h"
#include "random_draws.h"

#include <algorithm>

namespace Robinrail {

namespace {

constexpr std::uint32_t BalancerNetwork = 0x0a000000;
constexpr std::uint32_t TargetNetwork = 0x0b000000;
constexpr std::uint32_t CallerNetwork = 0x0c000000;
constexpr std::uint32_t NetworkMask = 0xff000000;

constexpr Duration AnnounceInterval = std::chrono::seconds(1);
constexpr Duration FeedInterval = std::chrono::milliseconds(200);
constexpr Duration CallerTickInterval = std::chrono::milliseconds(50);
constexpr Duration OccupancySampleInterval = std::chrono::milliseconds(50);
constexpr Duration IntraDataCentreDelay = std::chrono::microseconds(100);
constexpr Duration FabricCheckInterval = std::chrono::milliseconds(200);

// The fabric keeps sending packets to a dead VM for this long.
constexpr Duration FabricFailureDetection = std::chrono::seconds(1);

// New work that reaches a target later than this after it began to drain is counted as late.
constexpr Duration DrainGrace = std::chrono::seconds(3);

// A feed that delivered nothing for this long counts as broken.
constexpr Duration BrokenFeedTimeout = std::chrono::seconds(8);

// Time simulated after the last arrival, so that every request completes or times out.
constexpr Duration CoolDown = std::chrono::seconds(10);

// Real incarnations are milliseconds since 1970; values of that size give messages their real length.
constexpr std::uint64_t FirstIncarnation = 1'700'000'000'000;
constexpr int OccupancyBins = 21; // Steps of 5%, from 0 to 100%.

Bytes packTag(std::uint64_t tag)
{
    Bytes bytes(sizeof(tag));
    std::memcpy(bytes.data(), &tag, sizeof(tag));
    return bytes;
}

std::uint64_t unpackTag(const Bytes &bytes)
{
    std::uint64_t tag = 0;
    std::memcpy(&tag, bytes.data(), std::min(bytes.size(), sizeof(tag)));
    return tag;
}

} // namespace

std::uint64_t SimulationResult::signature() const
{
    std::uint64_t mixed = 0;
    const auto mix = [&mixed](std::uint64_t number) {
        mixed = hashPair(mixed, number);
    };
    for (const std::uint64_t figure : {sent, unanswered, brokenFlows, runTwice, falseNotRun, wrongAnswers, crossDeliveries, lateWork, feedItems}) {
        mix(figure);
    }
    for (const std::uint64_t outcome : outcomes) {
        mix(outcome);
    }
    for (const std::uint64_t figure : {retries, refusedAttempts, offloaded, stoppedBalancers}) {
        mix(figure);
    }
    mix(static_cast<std::uint64_t>(p50.count()));
    mix(static_cast<std::uint64_t>(p99.count()));
    return mixed;
}

template<SlotPolicy Policy>
Simulation<Policy>::Simulation(const SimulationOptions &options)
    : m_options(options)
    , m_random(options.seed)
    , m_now(std::chrono::hours(1))
    , m_measurementStart(m_now + options.warmUp)
    , m_measurementEnd(m_measurementStart + options.duration)
    , m_occupancy(OccupancyBins)
{
    const SimulatedDeployment &deployment = m_options.deployment;
    for (int i = 1; i <= deployment.balancers; ++i) {
        BalancerNode node;
        node.id = BalancerId{static_cast<std::uint16_t>(i)};
        node.dataCentre = (i - 1) % deployment.dataCentres + 1;
        node.endpoint = {BalancerNetwork + static_cast<std::uint32_t>(i), 5000};
        m_balancers.push_back(std::move(node));
    }
    std::uint32_t number = 0;
    for (const SimulatedService &service : deployment.services) {
        for (int i = 0; i < service.targets; ++i) {
            TargetNode target;
            target.id = TargetId{++number};
            target.service = &service;
            target.dataCentre = static_cast<int>(number) % deployment.dataCentres + 1;
            target.endpoint = {TargetNetwork + number, 9000};
            m_targets.push_back(std::move(target));
        }
    }
    const std::size_t callers = deployment.services.size() * static_cast<std::size_t>(m_options.callers) + static_cast<std::size_t>(m_options.feeds);
    for (std::size_t i = 0; i < callers; ++i) {
        CallerNode caller;
        caller.endpoint = {CallerNetwork + static_cast<std::uint32_t>(i) + 1, 4000};
        caller.feed = i < static_cast<std::size_t>(m_options.feeds);
        const std::size_t service = caller.feed ? 0 : (i - static_cast<std::size_t>(m_options.feeds)) % deployment.services.size();
        caller.service = &deployment.services[service];
        caller.session = std::make_unique<CallerSession>(i + 1, caller.feed);
        m_callers.push_back(std::move(caller));
    }
    for (CallerNode &caller : m_callers) {
        if (!caller.feed) {
            m_requestCallers[value(caller.service->id)].push_back(&caller);
        }
    }
}

template<SlotPolicy Policy>
SimulationResult Simulation<Policy>::run()
{
    for (BalancerNode &node : m_balancers) {
        startBalancer(node);
    }
    for (TargetNode &target : m_targets) {
        startTarget(target);
    }
    for (CallerNode &caller : m_callers) {
        every(CallerTickInterval, [this, &caller] {
            caller.session->tick(m_now);
            processSession(caller);
            return true;
        });
    }
    for (const SimulatedService &service : m_options.deployment.services) {
        scheduleNextRequest(service);
    }
    every(OccupancySampleInterval, [this] {
        sampleOccupancy();
        return true;
    });
    for (const Fault &fault : m_options.faults) {
        at(m_measurementStart + fault.at, [this, fault] {
            apply(fault);
        });
    }
    while (!m_events.empty() && m_events.top().at <= m_measurementEnd + CoolDown) {
        Event event = m_events.top();
        m_events.pop();
        m_now = event.at;
        event.action();
    }
    return summarize();
}

template<SlotPolicy Policy>
BalancerCore<Policy> &Simulation<Policy>::balancer(int number)
{
    return *m_balancers[static_cast<std::size_t>(number - 1)].core;
}

template<SlotPolicy Policy>
TimePoint Simulation<Policy>::now() const
{
    return m_now;
}

template<SlotPolicy Policy>
void Simulation<Policy>::at(TimePoint time, std::function<void()> action)
{
    m_events.push({time, ++m_lastOrder, std::move(action)});
}

template<SlotPolicy Policy>
void Simulation<Policy>::after(Duration delay, std::function<void()> action)
{
    at(m_now + delay, std::move(action));
}

template<SlotPolicy Policy>
void Simulation<Policy>::every(Duration interval, std::function<bool()> action)
{
    // A random phase, so that periodic actions of different nodes do not coincide.
    const Duration first(static_cast<std::int64_t>(uniform() * static_cast<double>(interval.count())));
    const auto turn = std::make_shared<std::function<void()>>();
    *turn = [this, interval, action = std::move(action), weak = std::weak_ptr(turn)] {
        if (action()) {
            after(interval, [self = weak.lock()] {
                (*self)();
            });
        }
    };
    after(first, [turn] {
        (*turn)();
    });
}

template<SlotPolicy Policy>
double Simulation<Policy>::uniform()
{
    return drawUniform(m_random);
}

template<SlotPolicy Policy>
Duration Simulation<Policy>::exponential(Duration mean)
{
    return drawExponential(m_random, mean);
}

template<SlotPolicy Policy>
bool Simulation<Policy>::measuring() const
{
    return m_now >= m_measurementStart && m_now < m_measurementEnd;
}

// ---- Balancers ----

template<SlotPolicy Policy>
void Simulation<Policy>::startBalancer(BalancerNode &node)
{
    BalancerSettings settings;
    settings.self = {node.id, Incarnation{FirstIncarnation + ++node.startCount}};
    settings.dataCentre = DataCentreId{static_cast<std::uint8_t>(node.dataCentre)};
    settings.connectionIdKeys = {{1, {1, 2, 3}}};
    for (const BalancerNode &peer : m_balancers) {
        settings.peers.push_back({peer.id, peer.endpoint});
    }
    node.core = std::make_unique<BalancerCore<Policy>>(settings);
    node.alive = true;
    node.frozen = false;
    std::vector<ServiceSettings> services;
    for (const SimulatedService &service : m_options.deployment.services) {
        ServiceSettings entry;
        entry.id = service.id;
        services.push_back(entry);
    }
    node.core->applyBundle(m_now, 1, services);
    const std::uint64_t startCount = node.startCount;
    every(TickInterval, [this, &node, startCount] {
        tickBalancer(node, startCount);
        return node.alive && node.startCount == startCount;
    });
    every(FabricCheckInterval, [this, &node, startCount] {
        if (node.startCount != startCount) {
            return false;
        }
        if (node.alive) {
            node.inFabric = node.core->ready();
            return true;
        }
        after(FabricFailureDetection, [&node, startCount] {
            node.inFabric = node.inFabric && node.startCount != startCount;
        });
        return false;
    });
}

template<SlotPolicy Policy>
void Simulation<Policy>::tickBalancer(BalancerNode &node, std::uint64_t startCount)
{
    if (!node.alive || node.frozen || node.startCount != startCount) {
        return;
    }
    node.core->tick(m_now);
    flush(node);
    if (node.core->finished(m_now)) {
        node.alive = false;
        ++m_result.stoppedBalancers;
    }
}

template<SlotPolicy Policy>
void Simulation<Policy>::runOnBalancer(BalancerNode &node, const std::function<void()> &action)
{
    if (!node.alive) {
        return;
    }
    if (node.frozen) {
        node.deferredActions.push_back(action); // A frozen process leaves packets in its socket buffer.
        return;
    }
    action();
    flush(node);
}

template<SlotPolicy Policy>
void Simulation<Policy>::flush(BalancerNode &node)
{
    for (const Outgoing &outgoing : node.core->takeOutbox()) {
        route(node, outgoing);
    }
}

template<SlotPolicy Policy>
bool Simulation<Policy>::connected(int one, int other) const
{
    return one == other || (!m_isolatedDataCentres.contains(one) && !m_isolatedDataCentres.contains(other));
}

template<SlotPolicy Policy>
Duration Simulation<Policy>::latency(int one, int other) const
{
    return one == other ? IntraDataCentreDelay : m_options.deployment.interDataCentreDelay;
}

// Sends one packet, subject to the configured loss, duplication and extra delay.
template<SlotPolicy Policy>
template<typename Deliver>
void Simulation<Policy>::transmit(Duration delay, bool mayDuplicate, Deliver deliver)
{
    const int copies = mayDuplicate && uniform() < m_options.duplicate ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        if (uniform() < m_options.drop) {
            continue;
        }
        const bool delayed = uniform() < m_options.delayed;
        const Duration extra = delayed ? Duration(static_cast<std::int64_t>(uniform() * static_cast<double>(MaxExtraDelay.count()))) : Duration(0);
        after(delay + extra, deliver);
    }
}

template<SlotPolicy Policy>
void Simulation<Policy>::route(BalancerNode &from, const Outgoing &outgoing)
{
    const std::uint32_t network = outgoing.to.address & NetworkMask;
    const std::size_t index = (outgoing.to.address & ~NetworkMask) - 1;
    if (network == BalancerNetwork) {
        BalancerNode &to = m_balancers[index];
        const bool control = std::holds_alternative<Heartbeat>(outgoing.message) || std::holds_alternative<HandoverFlows>(outgoing.message)
            || std::holds_alternative<HandoverReceived>(outgoing.message);
        if (control && measuring()) {
            from.controlBytes += encodeMessage(outgoing.message).size() + DatagramAuthOverhead;
        }
        if (!connected(from.dataCentre, to.dataCentre)) {
            return;
        }
        transmit(latency(from.dataCentre, to.dataCentre), true, [this, &to, peer = from.endpoint, message = outgoing.message] {
            runOnBalancer(to, [this, &to, peer, message] {
                to.core->handlePeer(m_now, peer, message);
            });
        });
    } else if (network == TargetNetwork) {
        TargetNode &to = m_targets[index];
        if (connected(from.dataCentre, to.dataCentre)) {
            transmit(latency(from.dataCentre, to.dataCentre), false, [this, &to, &from, message = outgoing.message] {
                handleTargetMessage(to, from, message);
            });
        }
    } else if (network == CallerNetwork) {
        CallerNode &to = m_callers[index];
        transmit(m_options.deployment.callerDelay, true, [this, &to, message = outgoing.message] {
            to.session->receive(m_now, message);
            processSession(to);
        });
    }
}

// The fabric sends each packet to a random balancer among those in its pool, whatever flow it belongs to.
template<SlotPolicy Policy>
void Simulation<Policy>::sendToAnyBalancer(std::function<void(BalancerNode &)> deliver)
{
    std::vector<BalancerNode *> pool;
    for (BalancerNode &node : m_balancers) {
        if (node.inFabric) {
            pool.push_back(&node);
        }
    }
    if (pool.empty()) {
        return;
    }
    BalancerNode &node = *pool[drawIndex(m_random, pool.size())];
    runOnBalancer(node, [&node, deliver = std::move(deliver)] {
        deliver(node);
    });
}

// ---- Targets ----

template<SlotPolicy Policy>
void Simulation<Policy>::startTarget(TargetNode &target)
{
    ++target.startCount;
    target.alive = true;
    target.silent = false;
    target.draining = false;
    target.sequence = 0;
    target.running.clear();
    target.feeds.clear();
    const std::uint64_t startCount = target.startCount;
    every(AnnounceInterval, [this, &target, startCount] {
        announce(target, startCount);
        return target.alive && target.startCount == startCount;
    });
}

template<SlotPolicy Policy>
void Simulation<Policy>::announce(TargetNode &target, std::uint64_t startCount)
{
    if (!target.alive || target.startCount != startCount) {
        return;
    }
    Announcement announcement;
    announcement.target = target.id;
    announcement.service = target.service->id;
    announcement.dataCentre = DataCentreId{static_cast<std::uint8_t>(target.dataCentre)};
    announcement.endpoint = target.endpoint;
    announcement.incarnation = Incarnation{FirstIncarnation + startCount};
    announcement.sequence = ++target.sequence;
    announcement.slots = target.service->slots;
    announcement.connections = 2000;
    announcement.draining = target.draining;
    announcement.reportedRunning = static_cast<std::uint16_t>(target.running.size());
    transmit(m_options.deployment.interDataCentreDelay, true, [this, &target, announcement] {
        sendToAnyBalancer([this, &target, announcement](BalancerNode &node) {
            if (connected(node.dataCentre, target.dataCentre)) {
                node.core->handleTarget(m_now, target.endpoint, announcement);
            }
        });
    });
}

template<SlotPolicy Policy>
bool Simulation<Policy>::isLate(const TargetNode &target) const
{
    return target.draining && m_now - target.drainedAt > DrainGrace;
}

template<SlotPolicy Policy>
void Simulation<Policy>::handleTargetMessage(TargetNode &target, BalancerNode &from, const Message &message)
{
    if (!target.alive || target.silent) {
        return;
    }
    if (const auto *request = std::get_if<RunRequest>(&message)) {
        runRequest(target, from, *request);
    } else if (const auto *cancel = std::get_if<CancelRun>(&message)) {
        setRunning(target, cancel->attempt, false);
    } else if (const auto *attach = std::get_if<AttachFeed>(&message)) {
        const bool known = target.feeds.contains(attach->attachment);
        m_result.lateWork += !known && isLate(target) ? 1 : 0;
        if (!known && target.draining) {
            return;
        }
        target.feeds[attach->attachment] = {from.endpoint, attach->flow, attach->nextSequence};
        sendFromTarget(target, from.endpoint, FeedAttached{attach->attachment, attach->flow});
        if (!known) {
            pushFeed(target, attach->attachment, target.startCount);
        }
    } else if (const auto *detach = std::get_if<DetachFeed>(&message)) {
        target.feeds.erase(detach->attachment);
    }
}

template<SlotPolicy Policy>
void Simulation<Policy>::runRequest(TargetNode &target, BalancerNode &from, const RunRequest &request)
{
    m_result.lateWork += isLate(target) ? 1 : 0;
    const std::uint64_t tag = unpackTag(request.body);
    // The tag's lowest byte is the id of the service that the caller addressed.
    m_result.crossDeliveries += (tag & 0xffU) != value(target.service->id) ? 1 : 0;
    if (target.draining || target.running.size() >= target.service->slots) {
        return sendFromTarget(target, from.endpoint, RunRefused{request.attempt});
    }
    ++m_requestTallies[tag].executions;
    setRunning(target, request.attempt, true);
    const Duration took = exponential(target.service->serviceTime);
    after(took, [this, &target, startCount = target.startCount, balancer = from.endpoint, request, took] {
        if (!target.alive || target.startCount != startCount || !target.running.contains(request.attempt)) {
            return;
        }
        setRunning(target, request.attempt, false);
        m_answeredWork += measuring() ? took : Duration(0);
        const auto count = static_cast<std::uint16_t>(target.service->parts);
        for (std::uint16_t part = 0; part < count; ++part) {
            sendFromTarget(target, balancer, RunPart{request.attempt, part, count, request.body});
        }
    });
}

template<SlotPolicy Policy>
void Simulation<Policy>::setRunning(TargetNode &target, const AttemptKey &attempt, bool running)
{
    const TimePoint from = std::max(target.busyUpdatedAt, m_measurementStart);
    const TimePoint until = std::min(m_now, m_measurementEnd);
    if (until > from) {
        target.busy += (until - from) * static_cast<std::int64_t>(target.running.size());
    }
    target.busyUpdatedAt = m_now;
    if (running) {
        target.running.insert(attempt);
    } else {
        target.running.erase(attempt);
    }
}

// Targets answer to the source address of a packet.
template<SlotPolicy Policy>
void Simulation<Policy>::sendFromTarget(TargetNode &target, Endpoint balancer, const Message &message)
{
    BalancerNode &to = m_balancers[(balancer.address & ~NetworkMask) - 1];
    if (!connected(target.dataCentre, to.dataCentre)) {
        return;
    }
    transmit(latency(target.dataCentre, to.dataCentre), true, [this, &to, &target, message] {
        runOnBalancer(to, [this, &to, &target, message] {
            to.core->handleTarget(m_now, target.endpoint, message);
        });
    });
}

template<SlotPolicy Policy>
void Simulation<Policy>::pushFeed(TargetNode &target, AttemptKey attachment, std::uint64_t startCount)
{
    const auto at = target.feeds.find(attachment);
    if (!target.alive || target.startCount != startCount || at == target.feeds.end()) {
        return;
    }
    Feed &feed = at->second;
    sendFromTarget(target, feed.balancer, FeedPush{attachment, feed.flow, feed.next, packTag(feed.next)});
    ++feed.next;
    after(FeedInterval, [this, &target, attachment, startCount] {
        pushFeed(target, attachment, startCount);
    });
}

// ---- Callers ----

template<SlotPolicy Policy>
void Simulation<Policy>::scheduleNextRequest(const SimulatedService &service)
{
    const double slots = service.targets * service.slots;
    const double perMicrosecond = m_options.load * slots / static_cast<double>(service.serviceTime.count());
    if (perMicrosecond <= 0) {
        return;
    }
    after(exponential(Duration(static_cast<std::int64_t>(1.0 / perMicrosecond))), [this, &service] {
        const std::vector<CallerNode *> &requestCallers = m_requestCallers[value(service.id)];
        CallerNode &caller = *requestCallers[drawIndex(m_random, requestCallers.size())];
        if (m_now < m_measurementEnd && caller.session->opened()) {
            const std::uint64_t tag = ++m_lastTag << 8U | value(service.id);
            m_requestTallies[tag].repeatable = service.repeatable;
            m_result.sent += measuring() ? 1 : 0;
            caller.openRequests[caller.session->request(m_now, service.repeatable, m_options.deadline, packTag(tag))] = tag;
            processSession(caller);
        }
        scheduleNextRequest(service);
    });
}

template<SlotPolicy Policy>
void Simulation<Policy>::processSession(CallerNode &caller)
{
    for (const Message &message : caller.session->takeOutbox()) {
        transmit(m_options.deployment.callerDelay, true, [this, &caller, message] {
            sendToAnyBalancer([this, &caller, message](BalancerNode &node) {
                node.core->handleCaller(m_now, caller.service->id, caller.endpoint, message);
            });
        });
    }
    for (const FeedItem &item : caller.session->takeItems()) {
        caller.wrongItem = caller.wrongItem || unpackTag(item.body) != item.sequence;
        ++m_result.feedItems;
    }
    if (caller.feed && caller.session->opened()) {
        caller.longestStall = std::max(caller.longestStall, Duration(m_now - caller.session->lastItemAt()));
    }
    for (const CallResult &result : caller.session->takeResults()) {
        recordResult(caller, result);
    }
}

template<SlotPolicy Policy>
void Simulation<Policy>::recordResult(CallerNode &caller, const CallResult &result)
{
    const std::uint64_t tag = caller.openRequests.at(result.request);
    caller.openRequests.erase(result.request);
    m_requestTallies[tag].reportedNotRun = result.outcome == Outcome::NotRun;
    const bool counted = m_now - result.took >= m_measurementStart;
    if (counted) {
        ++m_result.outcomes[static_cast<std::size_t>(result.outcome)];
        m_result.unanswered += result.timedOut ? 1 : 0;
    }
    if (result.outcome != Outcome::Answered) {
        return;
    }
    if (counted) {
        m_latency.record(result.took);
    }
    const bool whole = result.parts.size() == static_cast<std::size_t>(caller.service->parts);
    const bool own = std::all_of(result.parts.begin(), result.parts.end(), [tag](const Bytes &part) {
        return unpackTag(part) == tag;
    });
    m_result.wrongAnswers += whole && own ? 0 : 1;
}

template<SlotPolicy Policy>
void Simulation<Policy>::sampleOccupancy()
{
    if (!measuring()) {
        return;
    }
    for (const TargetNode &target : m_targets) {
        const std::size_t bin = target.running.size() * (OccupancyBins - 1) / target.service->slots;
        ++m_occupancy[std::min<std::size_t>(bin, OccupancyBins - 1)];
    }
}

template<SlotPolicy Policy>
void Simulation<Policy>::apply(const Fault &fault)
{
    const auto index = static_cast<std::size_t>(fault.index - 1);
    switch (fault.kind) {
    case FaultKind::StopBalancer:
        runOnBalancer(m_balancers[index], [this, index] {
            m_balancers[index].core->stop(m_now, m_options.linger);
        });
        break;
    case FaultKind::KillBalancer:
        m_balancers[index].alive = false;
        break;
    case FaultKind::StartBalancer:
        startBalancer(m_balancers[index]);
        break;
    case FaultKind::FreezeBalancer:
        m_balancers[index].frozen = true;
        break;
    case FaultKind::UnfreezeBalancer: {
        BalancerNode &node = m_balancers[index];
        node.frozen = false;
        for (const auto &action : std::exchange(node.deferredActions, {})) {
            runOnBalancer(node, action);
        }
        break;
    }
    case FaultKind::DrainTarget:
        m_targets[index].draining = true;
        m_targets[index].drainedAt = m_now;
        announce(m_targets[index], m_targets[index].startCount);
        break;
    case FaultKind::KillTarget:
        m_targets[index].alive = false;
        break;
    case FaultKind::StartTarget:
        startTarget(m_targets[index]);
        break;
    case FaultKind::SilenceTarget:
        m_targets[index].silent = true;
        break;
    case FaultKind::IsolateDataCentre:
        m_isolatedDataCentres.insert(fault.index);
        break;
    case FaultKind::ReconnectDataCentre:
        m_isolatedDataCentres.erase(fault.index);
        break;
    }
}

template<SlotPolicy Policy>
SimulationResult Simulation<Policy>::summarize()
{
    SimulationResult &result = m_result;
    for (const auto &[tag, tally] : m_requestTallies) {
        result.runTwice += tally.executions > 1 && !tally.repeatable ? 1 : 0;
        result.falseNotRun += tally.executions > 0 && tally.reportedNotRun ? 1 : 0;
    }
    for (const CallerNode &caller : m_callers) {
        const bool stalled = caller.longestStall >= BrokenFeedTimeout;
        result.brokenFlows += !caller.session->opened() || caller.wrongItem || stalled ? 1 : 0;
        result.longestStall = std::max(result.longestStall, caller.longestStall);
    }
    double available = 0;
    for (const SimulatedService &service : m_options.deployment.services) {
        double sum = 0;
        double highest = 0;
        for (const TargetNode &target : m_targets) {
            if (target.service == &service) {
                sum += static_cast<double>(target.busy.count());
                highest = std::max(highest, static_cast<double>(target.busy.count()));
            }
        }
        result.imbalance = sum > 0 ? std::max(result.imbalance, highest * service.targets / sum) : result.imbalance;
        available += static_cast<double>(m_options.duration.count()) * service.targets * service.slots;
    }
    result.goodput = ratio(m_answeredWork, available);
    std::uint64_t samples = 0;
    for (const std::uint64_t bin : m_occupancy) {
        samples += bin;
    }
    std::uint64_t seen = 0;
    for (std::size_t bin = 0; bin < m_occupancy.size(); ++bin) {
        seen += m_occupancy[bin];
        if (static_cast<double>(seen) >= 0.99 * static_cast<double>(samples)) {
            result.occupancyP99 = static_cast<double>(bin) / (OccupancyBins - 1);
            break;
        }
    }
    for (const BalancerNode &node : m_balancers) {
        const Counters &counters = node.core->context().counters;
        result.retries += counters.retries;
        result.refusedAttempts += counters.attemptsRefused;
        result.offloaded += counters.attemptsOffloaded;
        const double perSecond = static_cast<double>(node.controlBytes) * 1e6 / static_cast<double>(m_options.duration.count());
        result.controlBytesPerSecond = std::max(result.controlBytesPerSecond, perSecond);
    }
    result.p50 = m_latency.quantile(0.5);
    result.p99 = m_latency.quantile(0.99);
    return result;
}

template class Simulation<OptimisticSlots>;
template class Simulation<PartitionedTargets>;
template class Simulation<PartitionedSlotsNoOffload>;
template class Simulation<PartitionedSlots>;

} // namespace Robinrail

// SPDX-License-Identifier: MIT
// Simulation: its events, faults and results.
#include "simulation.h"

#include "hash.h"
#include "random_draws.h"
#include "simulation_balancers.h"
#include "simulation_callers.h"
#include "simulation_targets.h"
#include "simulation_values.h"

#include <algorithm>

namespace Robinrail {

namespace {

constexpr Duration CallerTickInterval = std::chrono::milliseconds(50);
constexpr Duration OccupancySampleInterval = std::chrono::milliseconds(50);

// A feed that delivered nothing for this long counts as broken.
constexpr Duration BrokenFeedTimeout = std::chrono::seconds(8);

// Time simulated after the last arrival, so that every request completes or times out.
constexpr Duration CoolDown = std::chrono::seconds(10);

constexpr int OccupancyBins = 21; // Steps of 5%, from 0 to 100%.

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

// SPDX-License-Identifier: MIT
// Reference points for the benchmark: an ideal central queue, and stateless ways to choose a target.
#include "simulation.h"

#include "hash.h"
#include "random_draws.h"

#include <algorithm>
#include <queue>

namespace Robinrail {

CentralQueueResult simulateCentralQueue(const SimulatedService &service, double load, Duration duration, Duration maxWait, std::uint64_t seed)
{
    pcg64 random(seed);
    const int slots = service.targets * service.slots;
    std::priority_queue<Duration, std::vector<Duration>, std::greater<>> freeAt;
    for (int i = 0; i < slots; ++i) {
        freeAt.push(Duration(0));
    }
    LatencyHistogram latency;
    Duration work{};
    const Duration between(static_cast<std::int64_t>(static_cast<double>(service.serviceTime.count()) / (load * slots)));
    for (Duration now = drawExponential(random, between); now < duration; now += drawExponential(random, between)) {
        const Duration start = std::max(now, freeAt.top());
        if (start - now > maxWait) {
            continue;
        }
        const Duration took = drawExponential(random, service.serviceTime);
        freeAt.pop();
        freeAt.push(start + took);
        work += took;
        latency.record(start + took - now);
    }
    return {ratio(work, static_cast<double>(duration.count()) * slots), latency.quantile(0.5), latency.quantile(0.99)};
}

BaselineResult simulateBaseline(BaselineKind kind, const SimulatedService &service, double load, Duration duration, int feeds, std::uint64_t seed)
{
    constexpr std::size_t BalancerCount = 8;
    pcg64 random(seed);
    const auto targets = static_cast<std::size_t>(service.targets);
    std::vector<std::vector<Duration>> runningUntil(targets);
    std::vector<double> busy(targets);
    std::array<std::size_t, BalancerCount> turn{};
    BaselineResult result;
    double work = 0;
    const auto pick = [&](std::uint64_t flow, std::size_t count) {
        switch (kind) {
        case BaselineKind::PlainHash:
            return static_cast<std::size_t>(hashPair(flow, 0) % count);
        case BaselineKind::RoundRobin:
            return turn[drawIndex(random, BalancerCount)]++ % count;
        case BaselineKind::Random:
            break;
        }
        return drawIndex(random, count);
    };
    const Duration between(static_cast<std::int64_t>(static_cast<double>(service.serviceTime.count()) / (load * service.targets * service.slots)));
    for (Duration now = drawExponential(random, between); now < duration; now += drawExponential(random, between)) {
        constexpr std::size_t FlowCount = 60;
        const std::size_t target = pick(drawIndex(random, FlowCount), targets);
        std::vector<Duration> &running = runningUntil[target];
        std::erase_if(running, [now](Duration end) {
            return end <= now;
        });
        if (running.size() >= service.slots) {
            ++result.refused;
            continue;
        }
        const Duration took = drawExponential(random, service.serviceTime);
        running.push_back(now + took);
        busy[target] += static_cast<double>(took.count());
        work += static_cast<double>(took.count());
    }
    result.goodput = work / (static_cast<double>(duration.count()) * service.targets * service.slots);
    result.imbalance = work > 0 ? *std::max_element(busy.begin(), busy.end()) * service.targets / work : 1;
    for (int feed = 0; feed < feeds; ++feed) {
        const auto flow = static_cast<std::uint64_t>(feed) + 1000;
        result.brokenFlows += pick(flow, targets) != pick(flow, targets - 1) ? 1 : 0;
    }
    return result;
}

} // namespace Robinrail

// SPDX-License-Identifier: MIT
// Fleet model: replicas that run the product's own target exchange over modelled links in virtual time, with any number of
// data centres, balancers and targets. Measures the traffic among replicas and to balancers, and its processing time.
#pragma once

#include "link_traffic.h"
#include "target_exchange_detail.h"

#include <functional>
#include <memory>
#include <queue>
#include <vector>

namespace Robinrail {

struct FleetShape {
    std::size_t dataCentres = 5;
    std::size_t replicasEach = 1; // In each data centre.
    std::size_t balancersEach = 20;
    std::size_t targetsEach = 100;

    std::size_t replicas() const
    {
        return dataCentres * replicasEach;
    }
};

// Traffic and processing time since the last call of takeMetrics(), as the mean over replicas.
struct FleetMetrics {
    double replicaBytes = 0; // Sent to other replicas.
    double replicaMessages = 0; // Sent to other replicas.
    double balancerBytes = 0; // Sent to balancers.
    double crossDataCentreBytes = 0; // Sent to other data centres.
    double processorSeconds = 0; // On this machine, by a monotonic clock; only the exchange and the codec.
    double maxProcessorSeconds = 0; // Of the replica with the most.
};

class FleetModel
{
public:
    FleetModel(const FleetShape &shape, std::uint64_t seed);
    ~FleetModel();

    // Starts all replicas, connects them, and lets targets announce themselves from then on.
    void start();

    void run(Duration duration);

    // Drains `targetsEach` targets of each data centre, spread evenly over `within`; each ends `endDelay` after it began to drain.
    void drain(std::size_t targetsEach, Duration within, Duration endDelay);

    // Kills all replica processes and starts them again after a pause with the targets that they knew. Those in
    // `wipedReplicas`, by index from 0, lose their disks as well and start without any.
    void restartAll(Duration pause, const std::vector<std::size_t> &wipedReplicas = {});

    FleetMetrics takeMetrics();

    // Whether the directories of all replicas have equal digests: the same targets in the same phases.
    bool inSync() const;

    // The longest time from a target's announcement that it drains to the answer, and the number of drains without an answer.
    Duration longestDrainAnswer() const;
    std::size_t drainsUnanswered() const;

private:
    struct Links;
    struct Replica;
    struct Target;
    struct Event {
        TimePoint at;
        std::uint64_t order = 0; // Of insertion, for events at the same time.
        std::function<void()> action;

        bool operator>(const Event &other) const
        {
            return std::tie(at, order) > std::tie(other.at, other.order);
        }
    };

    void at(TimePoint time, std::function<void()> action);
    void startReplicas(std::vector<std::vector<TargetStatus>> known);
    void connectReplicas(std::size_t dialler, std::size_t acceptor);
    void deliver(std::size_t from, ReplicaLinkId link, const Bytes &message);
    void dispatch(Replica &replica, const ReplicaLocation &peer, ReplicaLinkId link, const NodeMessage &message);
    void tick(std::size_t replica, std::uint64_t boot);
    void announce(std::size_t target, std::uint64_t generation);
    void drainTarget(std::size_t target, Duration endDelay);
    TargetRecord makeRecord(const Target &target) const;

    template<typename Work>
    void measureWork(Replica &replica, Work work);

    FleetShape m_shape;
    std::uint64_t m_seed;
    TimePoint m_now;
    std::uint64_t m_lastOrder = 0;
    std::uint64_t m_boot = 0; // Counts restarts of all replicas; periodic ticks of an earlier one end.
    ReplicaLinkId m_lastLink = 0;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::vector<std::unique_ptr<Replica>> m_replicas;
    std::vector<Target> m_targets;
    Duration m_longestDrainAnswer{};
    std::size_t m_drainsStarted = 0;
    std::size_t m_drainsAnswered = 0;
};

} // namespace Robinrail

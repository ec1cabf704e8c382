// SPDX-License-Identifier: MIT
// Fleet model: replicas with the product's own target exchange, in virtual time on modelled links, with as many data
// centres, balancers and targets as wanted. Tells what replicas say to each other and to balancers, and what that costs.
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

// What passed since the last figures were taken: of a replica, in the mean.
struct FleetMetrics {
    double replicaBytes = 0; // Sent to other replicas.
    double replicaMessages = 0;
    double balancerBytes = 0; // Sent to balancers.
    double crossDataCentreBytes = 0; // Sent to other data centres.
    double processorSeconds = 0; // On this machine; the exchange and the codec alone.
    double maxProcessorSeconds = 0; // Of the replica that took most.
};

class FleetModel
{
public:
    FleetModel(const FleetShape &shape, std::uint64_t seed);
    ~FleetModel();

    // All replicas come up, and links with them; targets announce themselves from now on.
    void start();

    void run(Duration duration);

    // So many targets of each data centre drain, one after the other within this time, and end `endDelay` later.
    void drain(std::size_t targetsEach, Duration within, Duration endDelay);

    // All replicas lose their processes and start again after a pause with what was known, but those of `emptied`, which
    // lose their disks as well.
    void restartAll(Duration pause, const std::vector<std::size_t> &wipedReplicas = {});

    FleetMetrics takeMetrics();

    // Whether all replicas hold the same targets in the same phases.
    bool inSync() const;

    // The longest time from a target's first word that it drains to the answer; drains that got none.
    Duration longestDrainAnswer() const;
    std::size_t drainsUnanswered() const;

private:
    struct Links;
    struct Replica;
    struct Target;
    struct Event {
        TimePoint at;
        std::uint64_t order = 0;
        std::function<void()> run;

        bool operator>(const Event &other) const
        {
            return std::tie(at, order) > std::tie(other.at, other.order);
        }
    };

    void at(TimePoint time, std::function<void()> run);
    void startReplicas(std::vector<std::vector<TargetStatus>> known);
    void connectReplicas(std::size_t dialler, std::size_t acceptor);
    void deliver(std::size_t from, ReplicaLinkId link, const Bytes &message);
    void dispatch(Replica &replica, const ReplicaPlace &peer, ReplicaLinkId link, const NodeMessage &message);
    void tick(std::size_t replica, std::uint64_t boot);
    void announce(std::size_t target, std::uint64_t generation);
    void drainTarget(std::size_t target, Duration endDelay);
    TargetRecord makeRecord(const Target &target) const;

    template<typename Work>
    void measureWork(Replica &replica, Work work);

    FleetShape m_shape;
    std::uint64_t m_seed;
    TimePoint m_now;
    std::uint64_t m_order = 0;
    std::uint64_t m_boot = 0; // Rises with each start of all.
    ReplicaLinkId m_lastLink = 0;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::vector<std::unique_ptr<Replica>> m_replicas;
    std::vector<Target> m_targets;
    Duration m_longestDrainAnswer{};
    std::size_t m_drainsStarted = 0;
    std::size_t m_drainsAnswered = 0;
};

} // namespace Robinrail

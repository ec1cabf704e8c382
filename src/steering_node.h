// SPDX-License-Identifier: MIT
// Steering node: a steering balancer's links to the replicas, its readiness, its log and figures. Packets
// come through a PacketPort.
#pragma once

#include "directory_follower.h"
#include "flow_steering.h"
#include "log_budget.h"
#include "node_links.h"
#include "replica_choice.h"
#include "settings.h"
#include "standstill_watch.h"
#include "target_probe.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <set>

namespace Robinrail {

// The balancer's clock runs in steps of this. It finds dead links and old flows; packets don't wait for it.
inline constexpr std::chrono::milliseconds SteeringTick{50};

// At most one routing table is asked for in this time, as documents come in floods and reading a table of hundreds of
// routes takes a small VM tens of milliseconds.
inline constexpr Duration RoutingFetchPause = std::chrono::milliseconds(250);

// A table that was asked for and did not come is asked for again, at another replica.
inline constexpr Duration RoutingFetchTimeout = std::chrono::milliseconds(600);

// The fabric asks for readiness twice a second and leaves a balancer out after two refusals; twice that.
inline constexpr Duration FabricNoticeTime = std::chrono::milliseconds(2500);

class SteeringNode
{
public:
    SteeringNode(boost::asio::io_context &io, SteeringSettings file);

    void start();

    // Takes changed settings; only the seeds can change while it runs.
    void reload(const SteeringSettings &file);

    // From now on it is not ready, and forwards as before until the process ends.
    void beginStop();

    // How long to forward on after beginStop(): until the fabric has noticed, well before the kill.
    Duration stopTime() const;

    // Whether the fabric may send packets here: it has a confirmed table and knows the targets.
    bool ready() const;

    // What runs each time that this node learnt routes or targets, until it is informed, so that held packets can be
    // steered. After a loss of all power the targets are known as soon as one replica is up, and whether its table is
    // the newest one only after an election: 130 to 300 ms later on the smallest deployment.
    void onLearnt(std::function<void()> learnt);

    // What sends resets of flows whose targets are gone.
    void onResets(std::function<void(std::span<const FlowReset>)> send);

    // A turn of the packet port begins; ends. `emptied`: all packets that had arrived were read.
    void beginPackets();
    void endPackets(bool emptied);

    // Decides on a packet and logs what a later question may be about.
    SteeringDecision steer(FlowPacket packet);

    // Counts what the port saw.
    void countMalformed();
    void countSendFailure();
    void countHeldTooLong(std::uint64_t packets);

    const SteeringSettings &settings() const;
    std::string metricsText() const;

private:
    void tick();
    void onEstablished(LinkHandle link, const NodeHello &peer);
    void onMessage(LinkHandle link, const NodeHello &peer, const NodeMessage &message);
    void onClosed(LinkHandle link, const NodeHello &peer);
    void onPage(LinkHandle link, ReplicaId replica, const DirectoryPage &page);
    void onUnreachable(const TargetsUnreachable &list);
    void reportUnanswered();
    void resetFlows();
    void logReset(TimePoint now, const FlowReset &reset);
    void onOffer(LinkHandle link, const RoutingOffer &offer);
    void drain(const RoutingOffer &offer);
    void onUpdate(const RoutingUpdate &update);
    void fetchIfBehind(TimePoint now);
    void knowReplicas();
    void chooseReplicas();
    void followDirectories();
    void logDecision(TimePoint now, const FlowPacket &packet, const SteeringDecision &decision);
    void updateReadiness();

    SteeringSettings m_file;
    NodeLinks m_links;
    boost::asio::steady_timer m_timer;
    FlowSteering m_steering;
    StandstillWatch m_standstill;
    TimePoint m_now;
    std::map<ReplicaId, std::vector<ReplicaPlace>> m_lists; // Replicas that each replica named.
    ReplicaChoice m_choice;
    DirectoryFollower m_follower;
    std::map<ReplicaId, LinkHandle> m_following; // The links on which replicas were asked for their directories.
    std::map<LinkHandle, std::uint64_t> m_offers; // Newest version that a link's replica has.
    TimePoint m_fetchDue;
    LinkHandle m_fetchedFrom = 0;
    bool m_fetching = false;
    std::uint64_t m_confirmedVersion = 0; // The newest one at some moment, as a replica with a quorum said.
    std::uint64_t m_drainRevision = 0; // Of the drained data centres in force here.
    bool m_confirmed = false; // The table was the newest one once.
    bool m_informed = false;
    std::function<void()> m_onLearnt;
    ProbeFindings m_findings;
    std::function<void(std::span<const FlowReset>)> m_sendResets;
    std::uint64_t m_flowsReset = 0;
    LogRateLimiter m_resetLog;
    bool m_ready = false;
    bool m_stopping = false;
    std::array<LogRateLimiter, SteeringReasonCount> m_logs;
    std::uint64_t m_malformed = 0;
    std::uint64_t m_sendFailures = 0;
    std::uint64_t m_heldTooLong = 0;
};

} // namespace Robinrail

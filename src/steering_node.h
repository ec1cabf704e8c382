// SPDX-License-Identifier: MIT
// Steering node: a steering balancer's links to the replicas, its readiness, log lines and metrics. PacketPort passes the
// packets to it.
#pragma once

#include "directory_follower.h"
#include "flow_steering.h"
#include "log_rate_limiter.h"
#include "node_links.h"
#include "packet_loss.h"
#include "replica_selector.h"
#include "settings.h"
#include "stall_detector.h"
#include "target_probe.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <set>

namespace Robinrail {

// Interval of the balancer's timer, which detects dead links and idle flows. Packets are handled as they arrive.
inline constexpr std::chrono::milliseconds SteeringTickInterval{50};

// Least time between a received routing table and the next request for one: new versions arrive in bursts, and decoding a
// table of hundreds of routes takes tens of milliseconds on a small VM.
inline constexpr Duration MinRoutingFetchInterval = std::chrono::milliseconds(250);

// Time after which an unanswered request for a table is repeated, if possible to another replica.
inline constexpr Duration RoutingFetchTimeout = std::chrono::milliseconds(600);

// Time in which the fabric stops sending packets to a balancer that is not ready. It polls readiness twice a second and
// excludes a balancer after two refusals; the value is more than twice that time.
inline constexpr Duration FabricDetectionTime = std::chrono::milliseconds(2500);

class SteeringNode
{
public:
    SteeringNode(boost::asio::io_context &io, SteeringSettings file);

    void start();

    // Applies changed settings; only the seeds can change at run time.
    void reload(const SteeringSettings &file);

    // From now on the node is not ready, but still forwards packets until the process ends.
    void beginStop();

    // How long to forward after beginStop(): until the fabric has noticed, but at most half the grace period before the kill.
    Duration stopTime() const;

    // Whether the fabric may send packets here: the node has a confirmed routing table and knows the targets.
    bool ready() const;

    // Sets the handler that runs whenever this node has received routes or targets, until it is informed, so that held
    // packets can be steered early. After a power failure of the whole deployment the targets are known as soon as one
    // replica is up, but whether its table is the newest one only after an election: 130 to 300 ms later on the smallest
    // deployment.
    void setRoutingDataHandler(std::function<void()> handler);

    // Sets the function that sends resets for flows whose targets are gone.
    void setResetHandler(std::function<void(std::span<const FlowReset>)> sendResets);

    // Called before the packet port reads packets, and after. `emptied`: all packets that had arrived were read.
    void beginReceive();
    void endReceive(bool emptied);

    // Decides on a packet, and logs all decisions but those on open flows, within a budget per reason.
    SteeringDecision steer(FlowPacket packet);

    // Counters of the packet port.
    void countMalformed();
    PacketLoss &packetLoss();
    void countHeldTooLong(std::uint64_t packets);
    void countBytes(std::size_t received, std::size_t sent);

    const SteeringSettings &settings() const;
    std::string metricsText() const;
    std::string excludedTargetsText() const;

private:
    void tick();
    void onEstablished(LinkHandle link, const NodeHello &peer);
    void onMessage(LinkHandle link, const NodeHello &peer, const NodeMessage &message);
    void onClosed(LinkHandle link, const NodeHello &peer);
    void onPage(LinkHandle link, ReplicaId replica, const DirectoryPage &page);
    void onUnreachable(const LifetimesUnreachable &list);
    void reportUnanswered(TimePoint now);
    void sendPins(std::span<const OpeningPin> pins);
    void onPins(const NodeHello &peer, const OpeningPins &message);
    void resetFlows();
    void logReset(TimePoint now, const FlowReset &reset);
    void onOffer(LinkHandle link, const RoutingOffer &offer);
    void applyDrains(const RoutingOffer &offer);
    void onUpdate(const RoutingUpdate &update);
    void requestTableIfBehind(TimePoint now);
    void updateReplicas();
    void selectReplicas();
    void followDirectories();
    void logAdmission();
    void logDecision(TimePoint now, const FlowPacket &packet, const SteeringDecision &decision);
    void updateReadiness();
    void writePinMetrics(PrometheusWriter &text) const;

    SteeringSettings m_file;
    NodeLinks m_links;
    boost::asio::steady_timer m_timer;
    FlowSteering m_steering;
    StallDetector m_stallDetector;
    TimePoint m_now;
    std::map<ReplicaId, std::vector<ReplicaLocation>> m_replicaLists; // The replica list that each replica sent.
    ReplicaSelector m_replicaSelector;
    DirectoryFollower m_follower;
    std::map<ReplicaId, LinkHandle> m_directoryLinks; // Links on which the replicas' directories were requested.
    std::map<LinkHandle, std::uint64_t> m_offeredVersions; // Newest routing version offered on each link.
    TimePoint m_fetchDue;
    LinkHandle m_fetchedFrom = 0;
    bool m_fetching = false;
    std::uint64_t m_confirmedVersion = 0; // Newest routing version that a replica in contact with a quorum has offered.
    std::uint64_t m_drainRevision = 0; // Revision of the set of drained data centres in force.
    bool m_confirmed = false; // Whether a table of at least the confirmed version has been applied.
    bool m_informed = false;
    std::function<void()> m_onRoutingData;
    TimePoint m_reportDue; // Earliest time of the next report of unanswered targets.
    ProbeResults m_probeFindings;
    std::function<void(std::span<const FlowReset>)> m_sendResets;
    std::uint64_t m_flowsReset = 0;
    LogRateLimiter m_resetLog;
    bool m_ready = false;
    bool m_stopping = false;
    std::array<LogRateLimiter, SteeringReasonCount> m_decisionLogs;
    std::set<PoolKey> m_limitedPools; // Pools whose new flows were limited at the last tick.
    bool m_linkLimited = false;
    LogRateLimiter m_admissionLog;
    std::uint64_t m_malformedPins = 0; // Lists of opening pins.
    LogRateLimiter m_malformedPinsLog;
    std::uint64_t m_malformed = 0;
    PacketLoss m_packetLoss;
    std::uint64_t m_heldTooLong = 0;
};

} // namespace Robinrail

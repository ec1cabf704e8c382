// SPDX-License-Identifier: MIT
// Balancer core: routes each packet to the balancer that owns its flow, and drives the engines. Performs no I/O.
//
// The daemon, tests and benchmarks drive it the same way: they call handleCaller(), handleTarget(), handlePeer() and tick()
// with the current time, then takeOutbox(). Any balancer may receive any packet of a flow; the connection id names the owner.
#pragma once

#include "balancer_context.h"
#include "codec.h"
#include "feed_engine.h"
#include "gossip.h"
#include "handover.h"
#include "request_engine.h"

namespace Robinrail {

// Nominal interval between calls of tick().
inline constexpr Duration TickInterval = std::chrono::milliseconds(20);

// Maximum number of times that a packet is relayed between balancers.
inline constexpr std::uint8_t MaxRelayHops = 3;

// A feed that was not polled for this long is detached. Longer than three poll intervals of a caller.
inline constexpr Duration FeedIdleTime = std::chrono::seconds(15);

// Interval between scans for idle flows and feeds.
inline constexpr Duration SweepInterval = std::chrono::seconds(1);

template<SlotPolicy Policy>
class BalancerCore
{
public:
    explicit BalancerCore(const BalancerSettings &settings);

    // Applies the services of a bundle if its version is higher than the current one. Returns whether it was applied.
    bool applyBundle(TimePoint now, std::uint64_t version, std::span<const ServiceSettings> services);

    // Replaces the connection id keys, newest first.
    void applyKeys(std::vector<VersionedMacKey> keys);

    // Handles a packet that a caller sent to an address of `service`.
    void handleCaller(TimePoint now, ServiceId service, Endpoint caller, const Message &message);

    // Handles a packet that a target sent to this balancer or to the fabric.
    void handleTarget(TimePoint now, Endpoint target, const Message &message);

    // Handles a packet of another balancer that the transport has authenticated.
    void handlePeer(TimePoint now, Endpoint peer, const Message &message);

    void tick(TimePoint now);

    // Starts a graceful shutdown; finished() reports when the process may exit.
    void stop(TimePoint now, Duration linger = DefaultLinger);
    bool finished(TimePoint now) const;

    // Whether this balancer has learned enough about its peers and targets to receive traffic.
    bool ready() const;

    // Routing decision for a packet of an established flow, without side effects; for tests and benchmarks.
    std::optional<BalancerKey> route(const SealedConnectionId &sealed, ServiceId service) const;

    // Datagrams to send since the last call.
    std::vector<Outgoing> takeOutbox();

    BalancerContext &context();
    const BalancerContext &context() const;
    std::size_t queued(ServiceId service) const;

private:
    // Routing metadata of a caller's packet.
    struct CallerPacket {
        ServiceId service{};
        Endpoint caller;
        std::uint8_t hops = 0;
        std::optional<BalancerKey> relay;
    };
    struct Adopted {
        FlowId flow{};
        TimePoint at;
    };
    struct PreviousOwner {
        BalancerKey owner;
        TimePoint at;
    };

    void dispatchCaller(TimePoint now, const CallerPacket &packet, const Message &message);
    void open(TimePoint now, const CallerPacket &packet, const OpenFlow &message);
    std::optional<ConnectionId> authenticateId(TimePoint now, ServiceId service, const SealedConnectionId &sealed);
    template<typename Typed>
    void onFlow(TimePoint now, const CallerPacket &packet, const Typed &message);
    void onOwnFlow(TimePoint now, const CallerPacket &packet, const ConnectionId &id, Flow &flow, const Request &request);
    void onOwnFlow(TimePoint now, const CallerPacket &packet, const ConnectionId &id, Flow &flow, const CancelRequest &cancel);
    void onOwnFlow(TimePoint now, const CallerPacket &packet, const ConnectionId &id, Flow &flow, const PollFeed &poll);
    void onFlowHandedOver(TimePoint now, const CallerPacket &packet, const ConnectionId &id, BalancerKey to, const Message &message);
    void onOwnerLost(TimePoint now, const CallerPacket &packet, const ConnectionId &id, const Message &message);
    bool adoptFromStoppingOwner(TimePoint now, const CallerPacket &packet, const ConnectionId &id, const Message &message);
    FlowId adopt(TimePoint now, const CallerPacket &packet, const ConnectionId &id);
    FlowId insertFlow(TimePoint now, const CallerPacket &packet, TargetId target);
    void sendMoved(const CallerPacket &packet, FlowId previous, FlowId flow);

    void relay(TimePoint now, const CallerPacket &packet, BalancerKey to, const Message &message);
    void relayTarget(TimePoint now, Endpoint target, const RelayedPacket *relayed, BalancerKey owner, const Message &message);
    template<typename Typed>
    bool acceptOrRelay(TimePoint now, Endpoint target, const RelayedPacket *relayed, const AttemptKey &attempt, const Typed &message);
    void dispatchTarget(TimePoint now, Endpoint target, const RelayedPacket *relayed, const Message &message);
    void handleRelayed(TimePoint now, const RelayedPacket &relayed);
    void handleHandover(TimePoint now, Endpoint peer, const HandoverFlows &handover);
    void handleHeartbeat(TimePoint now, const Heartbeat &heartbeat);
    void onTargetChanged(TimePoint now, TargetId target, AnnouncementEffect effect);
    void expireTargets(TimePoint now);
    void sweep(TimePoint now);

    BalancerContext m_context;
    RequestEngine<Policy> m_requests;
    FeedEngine m_feeds;
    Gossip m_gossip;
    Handover m_handover;
    std::unordered_map<std::uint64_t, Adopted> m_adopted; // Keyed by the flow's previous id.
    std::unordered_map<std::uint64_t, PreviousOwner> m_previousOwners; // Of flows received by handover.
    TimePoint m_started;
    bool m_hasStarted = false;
    bool m_heardPeer = false;
    TimePoint m_now;
    TimePoint m_nextSweep;
};

} // namespace Robinrail

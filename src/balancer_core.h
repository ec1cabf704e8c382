// SPDX-License-Identifier: MIT
// Balancer core: decides for every packet who handles it, and drives the engines. No I/O.
//
// Daemon, tests and benchmark drive it alike: handle…() and tick() with the time passed in, then take
// the outbox. Any balancer may get any packet of a flow; the connection id says who owns the flow.
#pragma once

#include "balancer_context.h"
#include "codec.h"
#include "feed_engine.h"
#include "gossip.h"
#include "handover.h"
#include "request_engine.h"

namespace Robinrail {

// The daemon calls tick() about this often.
inline constexpr Duration TickInterval = std::chrono::milliseconds(20);

// Most times that a packet is passed on between balancers.
inline constexpr std::uint8_t MaxRelayHops = 3;

// A feed that was not polled for this long is detached; three polls of a caller are less.
inline constexpr Duration FeedIdleTime = std::chrono::seconds(15);

// Idle flows and feeds are looked for this often.
inline constexpr Duration SweepInterval = std::chrono::seconds(1);

template<SlotPolicy Policy>
class BalancerCore
{
public:
    explicit BalancerCore(const BalancerSettings &settings);

    // Takes the services of a bundle if its version is higher than that in force; answers whether it was.
    bool applyBundle(TimePoint now, std::uint64_t version, std::span<const ServiceSettings> services);

    // Replaces the connection id keys, newest first.
    void applyKeys(std::vector<VersionedMacKey> keys);

    // A packet that a caller sent to an address of `service`.
    void handleCaller(TimePoint now, ServiceId service, Endpoint caller, const Message &message);

    // A packet that a target sent to this balancer or to the fabric.
    void handleTarget(TimePoint now, Endpoint target, const Message &message);

    // A packet of another balancer, already authenticated.
    void handlePeer(TimePoint now, Endpoint peer, const Message &message);

    void tick(TimePoint now);

    // Begins a planned stop; finished() says when the process may end.
    void stop(TimePoint now, Duration linger = DefaultLinger);
    bool finished(TimePoint now) const;

    // Whether this balancer knows its peers and targets well enough to be given traffic.
    bool ready() const;

    // The routing decision for a packet of an established flow, alone, for the benchmark.
    std::optional<BalancerKey> route(const SealedConnectionId &sealed, ServiceId service) const;

    // Datagrams to send since the last call.
    std::vector<Outgoing> takeOutbox();

    BalancerContext &context();
    const BalancerContext &context() const;
    std::size_t queued(ServiceId service) const;

private:
    // A caller's packet on its way through this balancer.
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
    bool isOwnAttemptOrRelay(TimePoint now, Endpoint target, const RelayedPacket *relayed, const AttemptKey &attempt, const Typed &message);
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
    std::unordered_map<std::uint64_t, Adopted> m_adopted; // By the flow's previous id.
    std::unordered_map<std::uint64_t, PreviousOwner> m_previousOwners; // Of flows received by handover.
    TimePoint m_started;
    bool m_hasStarted = false;
    bool m_heardPeer = false;
    TimePoint m_now;
    TimePoint m_nextSweep;
};

} // namespace Robinrail

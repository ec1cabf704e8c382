// SPDX-License-Identifier: MIT
// Handover: the planned stop of a balancer without a broken flow or a lost request.
//
// Most flows move by themselves: once a balancer says that it stops, whoever gets a packet of its flows
// adopts the flow under a new id, at no control traffic. What has not moved when the linger time is
// over goes to one successor with its request windows, so that at most once holds across the move.
#pragma once

#include "balancer_context.h"
#include "gossip.h"

#include <unordered_map>

namespace Robinrail {

// How long a stopping balancer waits for its callers' next packets; more than three polls of a caller.
inline constexpr Duration DefaultLinger = std::chrono::seconds(8);

// Flows in one datagram, and datagrams in one tick.
inline constexpr std::size_t MaxFlowsPerHandover = 10;
inline constexpr int MaxHandoversPerTick = 100;

// Unconfirmed flows are sent to the same successor again after this time.
inline constexpr Duration HandoverRetry = std::chrono::milliseconds(200);

// The stopped balancer stays this long after the last flow went, to answer what is asked again.
inline constexpr Duration HandoverGracePeriod = std::chrono::seconds(3);

class Handover
{
public:
    Handover(BalancerContext &context, Gossip &gossip);

    // Begins the planned stop.
    void begin(TimePoint now, Duration linger);

    // Hands flows on when it is time. `idle` says whether no request waits or runs here.
    void tick(TimePoint now, bool idle);

    // The successor confirms flows.
    void confirm(const HandoverReceived &message);

    // Where a flow went that this balancer handed over; empty for any other.
    std::optional<BalancerKey> destination(FlowId flow) const;

    // Whether the process may end.
    bool finished(TimePoint now) const;

private:
    struct SentFlow {
        BalancerKey to;
        TimePoint at;
        bool confirmed = false;
    };
    bool chooseSuccessor();
    void sendBatch(TimePoint now);
    void dropFlowsOfLostSuccessors();
    FlowHandover pack(FlowId id, const Flow &flow) const;

    BalancerContext &m_context;
    Gossip &m_gossip;
    bool m_begun = false;
    TimePoint m_lingerUntil;
    std::optional<BalancerKey> m_successor;
    std::unordered_map<std::uint64_t, SentFlow> m_sent;
    std::optional<TimePoint> m_drainedSince;
};

} // namespace Robinrail

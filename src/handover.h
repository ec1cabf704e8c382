// SPDX-License-Identifier: MIT
// Handover: graceful shutdown of a balancer without broken flows or lost requests.
//
// Most flows move without control traffic: once a balancer announces that it is stopping, any peer that gets
// a packet of one of its flows adopts the flow under a new id. Flows that have not moved when the linger time
// is over are sent to one successor with their request windows, which preserves at-most-once execution.
#pragma once

#include "balancer_context.h"
#include "gossip.h"

#include <unordered_map>

namespace Robinrail {

// Time that a stopping balancer waits for the next packets of its callers; longer than three poll intervals of a caller.
inline constexpr Duration DefaultLinger = std::chrono::seconds(8);

// Maximum number of flows per datagram, and of datagrams per tick.
inline constexpr std::size_t MaxFlowsPerHandover = 10;
inline constexpr int MaxHandoversPerTick = 100;

// Unconfirmed flows are retransmitted to the same successor at this interval.
inline constexpr Duration HandoverRetry = std::chrono::milliseconds(200);

// After its last flow was handed over, a stopped balancer keeps running for this long to answer retransmitted requests.
inline constexpr Duration HandoverGracePeriod = std::chrono::seconds(3);

class Handover
{
public:
    Handover(BalancerContext &context, Gossip &gossip);

    // Starts the graceful shutdown.
    void begin(TimePoint now, Duration linger);

    // Sends flows to the successor once the linger time is over. `idle`: no request is queued or running here.
    void tick(TimePoint now, bool idle);

    // Handles the successor's confirmation of flows.
    void confirm(const HandoverReceived &message);

    // Successor that a flow was handed over to; empty if it was not handed over.
    std::optional<BalancerKey> destination(FlowId flow) const;

    // Whether the process may exit.
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

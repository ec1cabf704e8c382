// SPDX-License-Identifier: MIT
// Feed engine: long flows whose items come from a target and are rebound when that target leaves.
//
// The feed belongs to the service, not to one target: the owner knows the next sequence number, so it
// can attach the flow to any target of the service without a gap or a repeat for the caller.
#pragma once

#include "balancer_context.h"

namespace Robinrail {

// Least time between two requests to a target to push again from a sequence number.
inline constexpr Duration MinResyncInterval = std::chrono::milliseconds(100);

// After this many attachments in a row that brought nothing, the feed is bound to another target.
inline constexpr std::uint8_t MaxUnansweredResyncs = 3;

class FeedEngine
{
public:
    explicit FeedEngine(BalancerContext &context);

    // The caller polls: attaches the feed if it is not, and sends again what the caller misses.
    void poll(TimePoint now, FlowId id, Flow &flow, std::uint64_t acknowledged);

    // A target pushed an item. Passes it on if it is the next one of an attachment of this balancer.
    void push(TimePoint now, Endpoint target, const FeedPush &push);

    // A target confirms an attachment.
    void attached(Endpoint target, const FeedAttached &message);

    // Attaches a flow that was taken over from another balancer.
    void resume(TimePoint now, FlowId id, Flow &flow);

    // Ends the attachment of a flow, if it has one.
    void detach(Flow &flow);

    // Moves every feed away from a target that is draining or lost.
    void rebindFrom(TimePoint now, TargetId target);

private:
    Flow *attachedFlow(Endpoint target, FlowId id, const AttemptKey &attachment);
    bool attach(TimePoint now, FlowId id, Flow &flow, std::optional<TargetId> avoid = std::nullopt);
    void rebindFromSilentTarget(TimePoint now, FlowId id, Flow &flow);
    void resync(TimePoint now, FlowId id, Flow &flow);

    BalancerContext &m_context;
};

} // namespace Robinrail

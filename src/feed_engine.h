// SPDX-License-Identifier: MIT
// Feed engine: streams items from a target to a caller, and rebinds the stream when the target leaves.
//
// A feed is provided by the service, not by one target: the owner tracks the next sequence number, so it
// can attach the flow to any target of the service without gaps or duplicates for the caller.
#pragma once

#include "balancer_context.h"

namespace Robinrail {

// Minimum interval between two requests to a target to resume a feed at a sequence number.
inline constexpr Duration MinResyncInterval = std::chrono::milliseconds(100);

// After this many consecutive resynchronizations without a response the feed is bound to another target.
inline constexpr std::uint8_t MaxUnansweredResyncs = 3;

class FeedEngine
{
public:
    explicit FeedEngine(BalancerContext &context);

    // Handles a poll of the caller: attaches the feed if needed, and resumes it after the last acknowledged item if items were lost.
    void poll(TimePoint now, FlowId id, Flow &flow, std::uint64_t acknowledged);

    // Handles an item pushed by a target. Forwards it if it is the next item of a current attachment.
    void push(TimePoint now, Endpoint target, const FeedPush &push);

    // Handles a target's confirmation of an attachment.
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

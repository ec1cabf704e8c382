// SPDX-License-Identifier: MIT
// Feed engine: attachment, in-order delivery, resynchronization (go-back-N) and rebinding.
#include "feed_engine.h"

#include "target_choice.h"

#include <algorithm>

namespace Robinrail {

FeedEngine::FeedEngine(BalancerContext &context)
    : m_context(context)
{
}

void FeedEngine::poll(TimePoint now, FlowId id, Flow &flow, std::uint64_t acknowledged)
{
    if (flow.attachment == 0) {
        flow.nextSequence = acknowledged + 1;
        attach(now, id, flow);
        return;
    }
    if (acknowledged >= flow.nextSequence) {
        // The caller is ahead, because the previous owner delivered further items: skip them.
        flow.nextSequence = acknowledged + 1;
        return resync(now, id, flow);
    }
    if (flow.lastPush.elapsed(now) < MinResyncInterval) {
        return;
    }
    // No item for a while: either the feed is idle, or an item or the attachment was lost.
    flow.nextSequence = acknowledged + 1;
    if (++flow.unansweredResyncs >= MaxUnansweredResyncs) {
        return rebindFromSilentTarget(now, id, flow);
    }
    resync(now, id, flow);
}

// A target responds to each attachment at once, if only by repeating the previous item. One that does not respond is replaced.
void FeedEngine::rebindFromSilentTarget(TimePoint now, FlowId id, Flow &flow)
{
    if (Target *target = m_context.targets.find(flow.target); target != nullptr) {
        recordNoAnswer(*target);
    }
    const TargetId silent = flow.target;
    detach(flow);
    if (attach(now, id, flow, silent)) {
        ++m_context.counters.feedRebinds;
        m_context.observe({.kind = EventKind::FeedRebound, .at = now, .service = flow.service, .flow = id, .target = flow.target});
    }
}

void FeedEngine::push(TimePoint now, Endpoint target, const FeedPush &push)
{
    Flow *flow = attachedFlow(target, push.flow, push.attachment);
    if (flow == nullptr) {
        return;
    }
    if (push.sequence > flow->nextSequence && flow->lastPush.elapsed(now) >= MinResyncInterval) {
        resync(now, push.flow, *flow);
    }
    if (push.sequence != flow->nextSequence) {
        return;
    }
    ++flow->nextSequence;
    flow->lastPush = CoarseTime(now);
    ++m_context.counters.feedItems;
    m_context.send(flow->caller, FeedItem{push.flow, push.sequence, push.body});
}

void FeedEngine::attached(Endpoint target, const FeedAttached &message)
{
    attachedFlow(target, message.flow, message.attachment);
}

// Returns the flow of a current attachment; the target is told to detach any other.
Flow *FeedEngine::attachedFlow(Endpoint target, FlowId id, const AttemptKey &attachment)
{
    Flow *flow = m_context.flows.find(id);
    if (flow == nullptr || flow->attachment != attachment.serial) {
        m_context.send(target, DetachFeed{attachment});
        return nullptr;
    }
    flow->unansweredResyncs = 0;
    return flow;
}

void FeedEngine::resume(TimePoint now, FlowId id, Flow &flow)
{
    attach(now, id, flow);
}

void FeedEngine::detach(Flow &flow)
{
    if (flow.attachment == 0) {
        return;
    }
    if (Target *target = m_context.targets.find(flow.target); target != nullptr) {
        target->feeds -= target->feeds > 0 ? 1 : 0;
        m_context.send(target->announcement.endpoint, DetachFeed{{m_context.peers.self(), flow.attachment}});
    }
    flow.attachment = 0;
}

void FeedEngine::rebindFrom(TimePoint now, TargetId target)
{
    m_context.flows.forEach([&](FlowId id, Flow &flow) {
        if (flow.target != target || flow.attachment == 0) {
            return;
        }
        detach(flow);
        if (attach(now, id, flow)) {
            ++m_context.counters.feedRebinds;
            m_context.observe({.kind = EventKind::FeedRebound, .at = now, .service = flow.service, .flow = id, .target = flow.target});
        }
    });
}

bool FeedEngine::attach(TimePoint now, FlowId id, Flow &flow, std::optional<TargetId> avoid)
{
    const std::size_t members = m_context.peers.members().size();
    Target *target = chooseFeedTarget(m_context.targets.targetsOf(flow.service), flow.service, id, members, avoid, now);
    if (target == nullptr) {
        return false; // The next poll tries again.
    }
    const AttemptKey attachment = m_context.nextAttempt();
    flow.target = target->id();
    flow.attachment = attachment.serial;
    flow.unansweredResyncs = 0;
    ++target->feeds;
    resync(now, id, flow);
    m_context.observe({.kind = EventKind::FeedAttached, .at = now, .service = flow.service, .flow = id, .target = flow.target});
    return true;
}

void FeedEngine::resync(TimePoint now, FlowId id, Flow &flow)
{
    const Target *target = m_context.targets.find(flow.target);
    if (target == nullptr) {
        return;
    }
    flow.lastPush = CoarseTime(now);
    ++m_context.counters.feedResyncs;
    const AttachFeed attach{{m_context.peers.self(), flow.attachment}, id, flow.nextSequence};
    m_context.send(target->announcement.endpoint, attach);
}

} // namespace Robinrail

// SPDX-License-Identifier: MIT
// Caller session: retransmission, repeats and feed polling.
#include "caller_session.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace Robinrail {

namespace {

// Number of flow ids that a session keeps; answers for older ids are ignored.
constexpr std::size_t MaxKnownFlows = 8;

// Minimum delay before a request is repeated.
constexpr Duration MinRepeatPause = std::chrono::milliseconds(20);

} // namespace

CallerSession::CallerSession(std::uint64_t nonce, bool withFeed)
    : m_nonce(nonce)
    , m_withFeed(withFeed)
{
}

void CallerSession::tick(TimePoint now)
{
    if (!m_opened) {
        if (m_openSent == TimePoint{} || now - m_openSent >= OpenRetryInterval) {
            m_openSent = now;
            m_outbox.emplace_back(OpenFlow{m_nonce});
        }
        return;
    }
    sendDueRepeats(now);
    std::vector<RequestId> overdue;
    for (auto &[id, pending] : m_pending) {
        if (now - pending.sentLast >= RequestRetryInterval) {
            pending.sentLast = now;
            pending.message.timeLeft = std::max(Duration::zero(), Duration(pending.deadline - now));
            m_outbox.emplace_back(pending.message);
        }
        if (now - pending.deadline >= AnswerGrace) {
            overdue.push_back(id);
        }
    }
    for (const RequestId id : overdue) {
        CallResult result;
        result.timedOut = true;
        finish(now, id, std::move(result));
    }
    const bool quiet = now - m_lastItemAt >= QuietPollInterval && now - m_pollSent >= QuietPollInterval;
    if (m_withFeed && (now - m_pollSent >= PollInterval || quiet)) {
        m_pollSent = now;
        m_outbox.emplace_back(PollFeed{m_connectionId, m_acknowledged});
    }
}

void CallerSession::receive(TimePoint now, const Message &message)
{
    if (const auto *opened = std::get_if<FlowOpened>(&message)) {
        if (!m_opened && opened->nonce == m_nonce) {
            m_opened = true;
            m_flow = opened->flow;
            m_flows.push_back(opened->flow);
            m_connectionId = opened->connectionId;
            m_lastItemAt = now;
        }
    } else if (const auto *moved = std::get_if<FlowMoved>(&message)) {
        if (m_opened && moved->previous == m_flow) {
            m_flow = moved->flow;
            m_flows.push_back(moved->flow);
            m_connectionId = moved->connectionId;
            if (m_flows.size() > MaxKnownFlows) {
                m_flows.erase(m_flows.begin());
            }
        }
    } else if (const auto *part = std::get_if<AnswerPart>(&message)) {
        handleAnswerPart(now, *part);
    } else if (const auto *refusal = std::get_if<Refusal>(&message)) {
        handleRefusal(now, *refusal);
    } else if (const auto *item = std::get_if<FeedItem>(&message)) {
        handleItem(now, *item);
    }
}

RequestId CallerSession::request(TimePoint now, bool repeatable, Duration deadline, Bytes body)
{
    assert(m_opened);
    const RequestId id{++m_lastRequest};
    Pending &pending = m_pending[id];
    pending.original = id;
    pending.message = {m_connectionId, id, repeatable, deadline, std::move(body)};
    pending.sentFirst = now;
    pending.sentLast = now;
    pending.deadline = now + deadline;
    m_outbox.emplace_back(pending.message);
    return id;
}

void CallerSession::cancel(RequestId request)
{
    const auto at = m_pending.find(request);
    if (at != m_pending.end()) {
        m_outbox.emplace_back(CancelRequest{at->second.message.connectionId, request});
    }
}

void CallerSession::handleAnswerPart(TimePoint now, const AnswerPart &part)
{
    const auto at = m_pending.find(part.request);
    if (at == m_pending.end() || !isKnownFlow(part.flow)) {
        return;
    }
    AnswerAssembly &assembly = at->second.attempts[part.attempt];
    if (assembly.add(part.index, part.count, part.body) != PartEffect::Completed) {
        return;
    }
    CallResult result;
    result.outcome = Outcome::Answered;
    result.parts = std::move(assembly.parts());
    finish(now, part.request, std::move(result));
}

void CallerSession::handleRefusal(TimePoint now, const Refusal &refusal)
{
    if (!m_pending.contains(refusal.request) || !isKnownFlow(refusal.flow)) {
        return;
    }
    const auto at = m_pending.find(refusal.request);
    if (mayRepeat(now, at->second, refusal)) {
        m_repeats.push_back({now + std::max(MinRepeatPause, refusal.retryAfter), std::move(at->second)});
        m_pending.erase(at);
        return;
    }
    CallResult result;
    result.outcome = refusal.outcome;
    result.retryAfter = refusal.retryAfter;
    finish(now, refusal.request, std::move(result));
}

bool CallerSession::mayRepeat(TimePoint now, const Pending &pending, const Refusal &refusal) const
{
    const Duration pause = std::max(MinRepeatPause, refusal.retryAfter);
    return pending.message.repeatable && refusal.outcome == Outcome::OutcomeUnknown && now + pause < pending.deadline;
}

// Sends repeats under the current connection id. If the flow has moved, its new id has usually arrived by then, as the balancer
// sends it before the refusal.
void CallerSession::sendDueRepeats(TimePoint now)
{
    std::vector<Repeat> due;
    std::erase_if(m_repeats, [&](Repeat &repeat) {
        const bool isDue = now >= repeat.at;
        if (isDue) {
            due.push_back(std::move(repeat));
        }
        return isDue;
    });
    for (Repeat &repeat : due) {
        const RequestId id{++m_lastRequest};
        Pending &pending = m_pending[id];
        pending = std::move(repeat.pending);
        pending.attempts.clear();
        pending.mayHaveRun = true;
        pending.message.connectionId = m_connectionId;
        pending.message.request = id;
        pending.message.timeLeft = pending.deadline - now;
        pending.sentLast = now;
        m_outbox.emplace_back(pending.message);
    }
}

void CallerSession::handleItem(TimePoint now, const FeedItem &item)
{
    if (!isKnownFlow(item.flow) || item.sequence != m_acknowledged + 1) {
        return; // A duplicate, or after a gap that the next poll fills.
    }
    ++m_acknowledged;
    m_lastItemAt = now;
    m_items.push_back(item);
}

void CallerSession::finish(TimePoint now, RequestId request, CallResult result)
{
    const auto at = m_pending.find(request);
    result.request = at->second.original;
    if (result.outcome == Outcome::NotRun && at->second.mayHaveRun) {
        result.outcome = Outcome::OutcomeUnknown;
    }
    result.took = now - at->second.sentFirst;
    m_pending.erase(at);
    m_results.push_back(std::move(result));
}

bool CallerSession::isKnownFlow(FlowId flow) const
{
    return std::find(m_flows.begin(), m_flows.end(), flow) != m_flows.end();
}

bool CallerSession::opened() const
{
    return m_opened;
}

std::vector<Message> CallerSession::takeOutbox()
{
    return std::exchange(m_outbox, {});
}

std::vector<CallResult> CallerSession::takeResults()
{
    return std::exchange(m_results, {});
}

std::vector<FeedItem> CallerSession::takeItems()
{
    return std::exchange(m_items, {});
}

std::uint64_t CallerSession::acknowledged() const
{
    return m_acknowledged;
}

TimePoint CallerSession::lastItemAt() const
{
    return m_lastItemAt;
}

std::size_t CallerSession::pending() const
{
    return m_pending.size() + m_repeats.size();
}

const SealedConnectionId &CallerSession::connectionId() const
{
    return m_connectionId;
}

} // namespace Robinrail

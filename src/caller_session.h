// SPDX-License-Identifier: MIT
// Caller session: the caller's side of one flow, without I/O, for programs that call a service.
//
// A request is always sent again under the connection id that it was first sent with: that id names the
// only balancer run that may execute it, which is what makes repeating the packet safe. A request that
// may be repeated and whose outcome is unknown is asked again as a new one, within its deadline.
#pragma once

#include "answer_assembly.h"

#include <map>
#include <optional>
#include <vector>

namespace Robinrail {

// How often packets without an answer are sent again.
inline constexpr Duration OpenRetryInterval = std::chrono::milliseconds(250);
inline constexpr Duration RequestRetryInterval = std::chrono::milliseconds(300);

// A feed is polled this often; it keeps flows alive, too.
inline constexpr Duration PollInterval = std::chrono::milliseconds(1000);

// A feed that has been quiet for this long is polled sooner, as an item may be lost.
inline constexpr Duration QuietPollInterval = std::chrono::milliseconds(300);

// After its deadline a request waits this long for the final answer before it counts as unanswered.
inline constexpr Duration AnswerGrace = std::chrono::seconds(2);

// How a request ended for the caller.
struct CallResult {
    RequestId request{};
    Outcome outcome = Outcome::OutcomeUnknown;
    bool timedOut = false; // Nothing final came; the outcome is unknown.
    Duration took{};
    Duration retryAfter{};
    std::vector<Bytes> parts; // Of an answered request, all of them in order.
};

class CallerSession
{
public:
    // With a feed the session polls for items from sequence 1 on. The nonce tells its opening packet from
    // those of other sessions of the same caller.
    CallerSession(std::uint64_t nonce, bool withFeed);

    void tick(TimePoint now);
    void receive(TimePoint now, const Message &message);

    // Sends a request; only once opened().
    RequestId request(TimePoint now, bool repeatable, Duration deadline, Bytes body);
    void cancel(RequestId request);

    bool opened() const;
    std::vector<Message> takeOutbox();
    std::vector<CallResult> takeResults();

    // Items since the last call, in order of their sequence and without a gap or a repeat.
    std::vector<FeedItem> takeItems();

    std::uint64_t acknowledged() const;
    TimePoint lastItemAt() const;
    std::size_t pending() const;
    const SealedConnectionId &connectionId() const;

private:
    struct Pending {
        Request message;
        RequestId original{}; // What the program knows it as; another one after it was repeated.
        bool mayHaveRun = false; // Under an earlier id, whose outcome was unknown.
        TimePoint sentFirst;
        TimePoint sentLast;
        TimePoint deadline;
        std::map<std::uint64_t, AnswerAssembly> attempts;
    };
    void handleAnswerPart(TimePoint now, const AnswerPart &part);
    void handleRefusal(TimePoint now, const Refusal &refusal);
    void handleItem(TimePoint now, const FeedItem &item);
    void finish(TimePoint now, RequestId request, CallResult result);
    bool mayRepeat(TimePoint now, const Pending &pending, const Refusal &refusal) const;
    void sendDueRepeats(TimePoint now);
    bool isKnownFlow(FlowId flow) const;

    std::uint64_t m_nonce;
    bool m_withFeed;
    bool m_opened = false;
    TimePoint m_openSent;
    FlowId m_flow{};
    std::vector<FlowId> m_flows; // All that this session has had, newest last.
    SealedConnectionId m_connectionId{};
    std::uint32_t m_lastRequest = 0;
    std::map<RequestId, Pending> m_pending;
    struct Repeat {
        TimePoint at;
        Pending pending;
    };
    std::vector<Repeat> m_repeats; // Refused, may be repeated, and not sent again yet.
    std::uint64_t m_acknowledged = 0;
    TimePoint m_pollSent;
    TimePoint m_lastItemAt;
    std::vector<Message> m_outbox;
    std::vector<CallResult> m_results;
    std::vector<FeedItem> m_items;
};

} // namespace Robinrail

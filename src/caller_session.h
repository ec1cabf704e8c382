// SPDX-License-Identifier: MIT
// Caller session: client side of one flow, without I/O, for programs that call a service.
//
// A request is always retransmitted under the connection id of its first transmission: that id names the only
// balancer incarnation that may execute it, which makes retransmission safe. A repeatable request whose outcome
// is unknown is repeated as a new request, within its deadline.
#pragma once

#include "answer_assembly.h"

#include <map>
#include <optional>
#include <vector>

namespace Robinrail {

// Retransmission intervals of packets without an answer.
inline constexpr Duration OpenRetryInterval = std::chrono::milliseconds(250);
inline constexpr Duration RequestRetryInterval = std::chrono::milliseconds(300);

// Interval between polls of a feed; polls also keep the flow from expiring.
inline constexpr Duration PollInterval = std::chrono::milliseconds(1000);

// A feed without an item for this long is polled at this interval instead, as an item may have been lost.
inline constexpr Duration QuietPollInterval = std::chrono::milliseconds(300);

// Time after its deadline that a request waits for a final answer before it is reported as timed out.
inline constexpr Duration AnswerGrace = std::chrono::seconds(2);

// Final result of a request.
struct CallResult {
    RequestId request{};
    Outcome outcome = Outcome::OutcomeUnknown;
    bool timedOut = false; // No final answer arrived; the outcome is unknown.
    Duration took{};
    Duration retryAfter{};
    std::vector<Bytes> parts; // All parts of the answer in order; empty unless answered.
};

class CallerSession
{
public:
    // `withFeed`: the session polls for feed items, starting with sequence 1. `nonce` distinguishes its opening
    // packet from those of other sessions of the same caller.
    CallerSession(std::uint64_t nonce, bool withFeed);

    void tick(TimePoint now);
    void receive(TimePoint now, const Message &message);

    // Sends a request and returns its id. The session must be opened().
    RequestId request(TimePoint now, bool repeatable, Duration deadline, Bytes body);
    void cancel(RequestId request);

    bool opened() const;
    std::vector<Message> takeOutbox();
    std::vector<CallResult> takeResults();

    // Feed items since the last call, in sequence order without gaps or duplicates.
    std::vector<FeedItem> takeItems();

    std::uint64_t acknowledged() const;
    TimePoint lastItemAt() const;
    std::size_t pending() const;
    const SealedConnectionId &connectionId() const;

private:
    struct Pending {
        Request message;
        RequestId original{}; // Id returned by request(); message.request differs once the request was repeated.
        bool mayHaveRun = false; // An earlier transmission, under another id, ended with an unknown outcome.
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
    std::vector<FlowId> m_flows; // Latest flow ids of this session, newest last.
    SealedConnectionId m_connectionId{};
    std::uint32_t m_lastRequest = 0;
    std::map<RequestId, Pending> m_pending;
    struct Repeat {
        TimePoint at;
        Pending pending;
    };
    std::vector<Repeat> m_repeats; // Repeatable requests with an unknown outcome that wait to be sent again.
    std::uint64_t m_acknowledged = 0;
    TimePoint m_pollSent;
    TimePoint m_lastItemAt;
    std::vector<Message> m_outbox;
    std::vector<CallResult> m_results;
    std::vector<FeedItem> m_items;
};

} // namespace Robinrail

// SPDX-License-Identifier: MIT
// Flow table: the flows that this balancer owns, and which of their requests it has seen.
#pragma once

#include "message.h"

#include <boost/unordered/unordered_flat_map.hpp>

namespace Robinrail {

// A flow without any packet for this long is dropped by its owner.
inline constexpr Duration FlowIdleTime = std::chrono::seconds(120);

// Most flows that one balancer owns; opening one more is refused.
inline constexpr std::size_t MaxFlows = 1'000'000;

// Result of looking a request id up in the window of its flow.
enum class RequestAge : std::uint8_t {
    Fresh,
    Seen,
    BelowWindow, // So old that it can't be told; treated as seen.
};

// Remembers which of the last 64 request ids of a flow were taken, in 12 bytes. An id is taken before
// anything is done for it, so that a duplicated packet can never start a request a second time
// (the anti-replay window of IPsec, RFC 4303, section 3.4.3).
class RequestWindow
{
public:
    RequestWindow() = default;
    RequestWindow(std::uint32_t highest, std::uint64_t bits);

    // Whether the id was taken; takes nothing.
    RequestAge lookUp(RequestId id) const;

    // Takes the id; answers what it was before.
    RequestAge record(RequestId id);

    std::uint32_t highest() const;
    std::uint64_t bits() const;

private:
    std::uint64_t m_bits = 0; // Bit n stands for the id m_highest - n.
    std::uint32_t m_highest = 0;
};

// One owned flow. Kept small: a balancer holds hundreds of thousands.
struct Flow {
    RequestWindow window;
    std::uint64_t nextSequence = 1; // Of the feed: the next item that the caller has not been sent.
    std::uint64_t attachment = 0; // Serial of the feed attachment; 0 without one.
    CoarseTime lastActive;
    CoarseTime lastPush; // When the feed last moved on, for spotting lost items.
    Endpoint caller;
    TargetId target{}; // Affinity of the flow, and where its feed is attached.
    ServiceId service{};
    std::uint16_t activeRequests = 0; // Requests queued or running.
    std::uint8_t unansweredResyncs = 0; // Of the feed, in a row.
    bool handedOver = false; // Sent to the successor, not yet confirmed by it.
};

// Owned flows by id.
class FlowTable
{
public:
    // Adds a flow; null if the table is full or the id is taken.
    Flow *insert(FlowId id, const Flow &flow);
    Flow *find(FlowId id);
    void erase(FlowId id);
    std::size_t size() const;

    // Calls visit(FlowId, Flow &) for every flow; visit must not insert or erase.
    template<typename Visit>
    void forEach(Visit visit)
    {
        for (auto &[id, flow] : m_flows) {
            visit(id, flow);
        }
    }

private:
    struct Hash {
        using is_avalanching = void; // Flow ids are hashes already.
        std::size_t operator()(FlowId id) const
        {
            return value(id);
        }
    };
    boost::unordered_flat_map<FlowId, Flow, Hash> m_flows;
};

} // namespace Robinrail

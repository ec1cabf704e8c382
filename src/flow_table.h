// SPDX-License-Identifier: MIT
// Flow table: the flows that this balancer owns, and which of their requests it has seen.
#pragma once

#include "message.h"

#include <boost/unordered/unordered_flat_map.hpp>

namespace Robinrail {

// A flow without packets for this long expires at its owner.
inline constexpr Duration FlowIdleTime = std::chrono::seconds(120);

// Maximum number of flows that one balancer owns; further ones are refused.
inline constexpr std::size_t MaxFlows = 1'000'000;

// Status of a request id in the window of its flow.
enum class RequestAge : std::uint8_t {
    Fresh,
    Seen,
    BelowWindow, // Too old for the window to tell; treated as seen.
};

// Records which of the last 64 request ids of a flow were seen, in 12 bytes. An id is recorded before its
// request is processed, so that a duplicated packet can never start a request a second time
// (the anti-replay window of IPsec, RFC 4303, section 3.4.3).
class RequestWindow
{
public:
    RequestWindow() = default;
    RequestWindow(std::uint32_t highest, std::uint64_t bits);

    // Returns the status of the id without recording it.
    RequestAge lookUp(RequestId id) const;

    // Records the id; returns its status before the call.
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
    std::uint64_t nextSequence = 1; // Of the next feed item to send to the caller.
    std::uint64_t attachment = 0; // Serial of the feed attachment; 0 without one.
    CoarseTime lastActive;
    CoarseTime lastPush; // Time of the last feed item or resynchronization, to detect lost items.
    Endpoint caller;
    TargetId target{}; // Target that the flow is bound to, and its feed is attached to.
    ServiceId service{};
    std::uint16_t activeRequests = 0; // Requests queued or running.
    std::uint8_t unansweredResyncs = 0; // Consecutive feed resynchronizations without a response.
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

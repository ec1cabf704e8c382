// SPDX-License-Identifier: MIT
// Opening pins: what the balancers of a data centre tell each other about the targets of flows, without I/O.
//
// The copies of an opening packet may pass through several balancers, for example because one of them is stopped. If these
// select different targets and the first target answers late, both answer, and the caller echoes the token of the answer that
// arrived last although the flow is open at the other target. A balancer therefore reports the target of an opening that stays
// unanswered, and of an open flow whose token changed or whose opening packet may have reached several targets.
#pragma once

#include "node_message.h"
#include "steered_flow.h"
#include "steering_targets.h"

#include <deque>
#include <optional>
#include <span>
#include <vector>

namespace Robinrail {

// Age of an unanswered opening from which it is reported. Answers usually take a few milliseconds.
inline constexpr Duration MinPinAge = std::chrono::milliseconds(50);

// An unanswered opening is reported before this age: the caller sends the next copy at 200 ms.
inline constexpr Duration MaxPinAge = std::chrono::milliseconds(190);

// Maximum number of pins that a balancer sends per tick of 50 ms.
inline constexpr std::size_t MaxPinsPerTick = 8;

// Maximum number of pins in a message.
inline constexpr std::size_t MaxPinsPerMessage = 64;

// Maximum number of pins of open flows that wait to be sent; they are sent after those of unanswered openings.
inline constexpr std::size_t MaxWaitingPins = 64;

// Maximum number of pins that a balancer keeps. Replicas pass on 320 a second, and one of an open flow is kept for as long as
// an idle flow: 4,800 in the default of 15 s.
inline constexpr std::size_t MaxLearnedPins = 8192;

struct OpeningPin {
    FlowKey flow;
    FlowToken target{};
    Duration age{}; // Of the first copy of the opening packet; 0 for an open flow.
    bool open = false;

    bool operator==(const OpeningPin &) const = default;
};

// Encodes at most MaxPinsPerMessage pins as a message. Ages are rounded up to whole milliseconds.
OpeningPins toMessage(DataCentreId dataCentre, std::span<const OpeningPin> pins);

// The pins of a message; no value if it is malformed.
std::optional<std::vector<OpeningPin>> pinsOf(const OpeningPins &message);

struct OpeningPinCounts {
    std::uint64_t sent = 0;
    std::uint64_t tooLate = 0; // Not sent: too many were to be sent before.
    std::uint64_t learned = 0; // Received and kept.
    std::uint64_t known = 0; // Ignored: this balancer knows the flow.
    std::uint64_t unknownTarget = 0; // Ignored: this balancer does not know the target.
    std::uint64_t expired = 0; // Ignored: the caller has given up.
    std::uint64_t full = 0; // Ignored: MaxLearnedPins are kept.
    std::uint64_t used = 0; // Decided the target of a packet.
};

class OpeningPinExchange
{
public:
    // The first copy of an opening packet was forwarded.
    void openingForwarded(TimePoint now, const FlowKey &flow);

    // Several targets may answer the opening packet of an open flow, or its token has changed. Reports the flow once.
    void reportOpen(const FlowKey &key, detail::SteeredFlow &flow);

    // The pins to be sent at this tick. A limited link sends them, too: they take 1.3% of 2 Mbit/s, and answers are late under overload.
    std::vector<OpeningPin> take(TimePoint now, const SteeredFlows &flows);

    // The pins of all unanswered openings, newest first, to be sent when this balancer is stopped.
    std::vector<OpeningPin> takeAll(TimePoint now, const SteeredFlows &flows);

    // The same while this balancer stops, for openings since the last call: they are reported at the next tick, as the process may end
    // before they are MinPinAge old.
    std::vector<OpeningPin> takeRecent(TimePoint now, const SteeredFlows &flows);

    // Handles a received pin.
    void learn(TimePoint now, const OpeningPin &pin, const SteeredFlows &flows, SteeringTargets &targets);

    // Whether a pin decides the target of a packet of this flow: this balancer does not know it from its own packets. A pin of an
    // unanswered opening decides on opening packets only, as the token of a further packet names a target that has answered.
    bool applies(TimePoint now, const FlowKey &key, const detail::SteeredFlow &flow, bool opening) const;

    // Enters a pin that applies into its flow.
    void adopt(const FlowKey &key, detail::SteeredFlow &flow);

    // Discards expired pins; `idle`: how long an idle flow is kept.
    void expire(TimePoint now, Duration idle);

    const OpeningPinCounts &counts() const;

private:
    struct Opening {
        FlowKey flow;
        TimePoint forwardedAt;
    };
    struct Learned {
        FlowToken target{};
        TimePoint firstCopyAt;
        TimePoint learnedAt;
        bool open = false;
    };

    static bool isExpired(TimePoint now, const Learned &pin, Duration idle);
    void add(TimePoint now, const OpeningPin &pin);

    std::deque<Opening> m_openings; // Oldest first; those that were answered are included.
    std::deque<OpeningPin> m_open; // Of open flows, to be sent.
    boost::unordered_flat_map<FlowKey, Learned, detail::FlowKeyHash> m_learned;
    OpeningPinCounts m_counts;
};

} // namespace Robinrail

// SPDX-License-Identifier: MIT
// Opening pins: implementation.
#include "opening_pins.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace Robinrail {

namespace {

// Whether a flow is still the opening that was forwarded at a time, and unanswered.
bool isUnanswered(TimePoint now, const detail::SteeredFlow &flow)
{
    return flow.openingSeenHere && flow.isOpening(now);
}

OpeningPin pinOf(TimePoint now, const FlowKey &key, const detail::SteeredFlow &flow)
{
    return {key, flow.target, flow.sentAt.elapsed(now), false};
}

} // namespace

// ---- Messages ----

OpeningPins toMessage(DataCentreId dataCentre, std::span<const OpeningPin> pins)
{
    OpeningPins message{dataCentre, {}, {}};
    for (const OpeningPin &pin : pins.first(std::min(pins.size(), MaxPinsPerMessage))) {
        const auto route = std::find(message.routes.begin(), message.routes.end(), pin.flow.route);
        const auto index = static_cast<std::uint16_t>(route - message.routes.begin());
        if (route == message.routes.end()) {
            message.routes.push_back(pin.flow.route);
        }
        const auto age = std::chrono::ceil<std::chrono::milliseconds>(std::min(pin.age, MaxOpeningTime)).count();
        message.pins.push_back({pin.flow.caller.address, pin.flow.caller.port, index, pin.target, static_cast<std::uint16_t>(age), pin.open});
    }
    return message;
}

std::optional<std::vector<OpeningPin>> pinsOf(const OpeningPins &message)
{
    if (message.pins.size() > MaxPinsPerMessage) {
        return std::nullopt;
    }
    std::vector<OpeningPin> pins;
    for (const OpeningPinEntry &entry : message.pins) {
        if (entry.route >= message.routes.size() || value(entry.target) == 0) {
            return std::nullopt;
        }
        const FlowKey flow{{entry.callerAddress, entry.callerPort}, message.routes[entry.route]};
        pins.push_back({flow, entry.target, std::chrono::milliseconds(entry.ageMs), entry.open});
    }
    return pins;
}

// ---- Sending ----

void OpeningPinExchange::openingForwarded(TimePoint now, const FlowKey &flow)
{
    m_openings.push_back({flow, now});
}

void OpeningPinExchange::reportOpen(const FlowKey &key, detail::SteeredFlow &flow)
{
    if (std::exchange(flow.openPinSent, true)) {
        return;
    }
    if (m_open.size() >= MaxWaitingPins) {
        ++m_counts.tooLate;
        return;
    }
    m_open.push_back({key, flow.target, Duration{0}, true});
}

std::vector<OpeningPin> OpeningPinExchange::take(TimePoint now, const SteeredFlows &flows)
{
    std::vector<OpeningPin> pins;
    while (!m_openings.empty() && now - m_openings.front().forwardedAt >= MinPinAge && pins.size() < MaxPinsPerTick) {
        const Opening opening = m_openings.front();
        m_openings.pop_front();
        const auto at = flows.find(opening.flow);
        if (at == flows.end() || !isUnanswered(now, at->second)) {
            continue;
        }
        if (now - opening.forwardedAt > MaxPinAge) {
            ++m_counts.tooLate;
        } else {
            pins.push_back(pinOf(now, opening.flow, at->second));
        }
    }
    while (!m_open.empty() && pins.size() < MaxPinsPerTick) {
        pins.push_back(m_open.front());
        m_open.pop_front();
    }
    m_counts.sent += pins.size();
    return pins;
}

std::vector<OpeningPin> OpeningPinExchange::takeAll(TimePoint now, const SteeredFlows &flows)
{
    m_openings.clear();
    std::vector<OpeningPin> pins;
    for (const auto &[key, flow] : flows) {
        if (isUnanswered(now, flow)) {
            pins.push_back(pinOf(now, key, flow));
        }
    }
    std::stable_sort(pins.begin(), pins.end(), [](const OpeningPin &one, const OpeningPin &other) {
        return one.age < other.age;
    });
    m_counts.sent += pins.size();
    return pins;
}

std::vector<OpeningPin> OpeningPinExchange::takeRecent(TimePoint now, const SteeredFlows &flows)
{
    std::vector<OpeningPin> pins;
    for (const Opening &opening : std::exchange(m_openings, {})) {
        const auto at = flows.find(opening.flow);
        if (at != flows.end() && isUnanswered(now, at->second)) {
            pins.push_back(pinOf(now, opening.flow, at->second));
        }
    }
    m_counts.sent += pins.size();
    return pins;
}

// ---- Receiving ----

void OpeningPinExchange::learn(TimePoint now, const OpeningPin &pin, const SteeredFlows &flows, SteeringTargets &targets)
{
    const auto own = flows.find(pin.flow);
    if (targets.find(pin.target) == nullptr) {
        ++m_counts.unknownTarget;
    } else if (!pin.open && pin.age >= MaxOpeningTime) {
        ++m_counts.expired;
    } else if (own != flows.end() && (own->second.isFixed() || own->second.isOpening(now))) {
        ++m_counts.known;
    } else {
        add(now, pin);
    }
}

// Of two pins of unanswered openings, that of the earlier first copy counts: its target got a copy before the other one.
void OpeningPinExchange::add(TimePoint now, const OpeningPin &pin)
{
    const Learned learned{pin.target, now - pin.age, now, pin.open};
    const auto at = m_learned.find(pin.flow);
    if (at == m_learned.end()) {
        if (m_learned.size() >= MaxLearnedPins) {
            ++m_counts.full;
            return;
        }
        m_learned.emplace(pin.flow, learned);
    } else {
        const Learned &before = at->second;
        const bool valid = before.open || now - before.firstCopyAt < MaxOpeningTime;
        if (valid && (before.open || (!pin.open && before.firstCopyAt <= learned.firstCopyAt))) {
            ++m_counts.known;
            return;
        }
        at->second = learned;
    }
    ++m_counts.learned;
}

bool OpeningPinExchange::applies(TimePoint now, const FlowKey &key, const detail::SteeredFlow &flow, bool opening) const
{
    if (m_learned.empty() || flow.isFixed() || flow.isOpening(now)) {
        return false;
    }
    const auto at = m_learned.find(key);
    return at != m_learned.end() && (at->second.open || (opening && now - at->second.firstCopyAt < MaxOpeningTime));
}

void OpeningPinExchange::adopt(const FlowKey &key, detail::SteeredFlow &flow)
{
    const auto at = m_learned.find(key);
    const Learned pin = at->second;
    m_learned.erase(at);
    ++m_counts.used;
    flow.target = pin.target;
    flow.sentAt = CoarseTime(pin.firstCopyAt);
    flow.copy = 0;
    flow.refused = false;
    flow.openingSeenHere = false;
    flow.openElsewhere = pin.open;
    flow.openPinSent = pin.open;
}

bool OpeningPinExchange::isExpired(TimePoint now, const Learned &pin, Duration idle)
{
    return pin.open ? now - pin.learnedAt >= idle : now - pin.firstCopyAt >= MaxOpeningTime;
}

void OpeningPinExchange::expire(TimePoint now, Duration idle)
{
    boost::unordered::erase_if(m_learned, [&](const auto &each) {
        return isExpired(now, each.second, idle);
    });
}

const OpeningPinCounts &OpeningPinExchange::counts() const
{
    return m_counts;
}

} // namespace Robinrail

// SPDX-License-Identifier: MIT
// Simulated targets: member functions of Simulation, included by simulation.cpp only.
#pragma once

#include "simulation_values.h"

namespace Robinrail {

constexpr Duration AnnounceInterval = std::chrono::seconds(1);
constexpr Duration FeedInterval = std::chrono::milliseconds(200);

// New work that reaches a target later than this after it began to drain is counted as late.
constexpr Duration DrainGrace = std::chrono::seconds(3);

template<SlotPolicy Policy>
void Simulation<Policy>::startTarget(TargetNode &target)
{
    ++target.startCount;
    target.alive = true;
    target.silent = false;
    target.draining = false;
    target.sequence = 0;
    target.running.clear();
    target.feeds.clear();
    const std::uint64_t startCount = target.startCount;
    every(AnnounceInterval, [this, &target, startCount] {
        announce(target, startCount);
        return target.alive && target.startCount == startCount;
    });
}

template<SlotPolicy Policy>
void Simulation<Policy>::announce(TargetNode &target, std::uint64_t startCount)
{
    if (!target.alive || target.startCount != startCount) {
        return;
    }
    Announcement announcement;
    announcement.target = target.id;
    announcement.service = target.service->id;
    announcement.dataCentre = DataCentreId{static_cast<std::uint8_t>(target.dataCentre)};
    announcement.endpoint = target.endpoint;
    announcement.incarnation = Incarnation{FirstIncarnation + startCount};
    announcement.sequence = ++target.sequence;
    announcement.slots = target.service->slots;
    announcement.connections = 2000;
    announcement.draining = target.draining;
    announcement.reportedRunning = static_cast<std::uint16_t>(target.running.size());
    transmit(m_options.deployment.interDataCentreDelay, true, [this, &target, announcement] {
        sendToAnyBalancer([this, &target, announcement](BalancerNode &node) {
            if (connected(node.dataCentre, target.dataCentre)) {
                node.core->handleTarget(m_now, target.endpoint, announcement);
            }
        });
    });
}

template<SlotPolicy Policy>
bool Simulation<Policy>::isLate(const TargetNode &target) const
{
    return target.draining && m_now - target.drainedAt > DrainGrace;
}

template<SlotPolicy Policy>
void Simulation<Policy>::handleTargetMessage(TargetNode &target, BalancerNode &from, const Message &message)
{
    if (!target.alive || target.silent) {
        return;
    }
    if (const auto *request = std::get_if<RunRequest>(&message)) {
        runRequest(target, from, *request);
    } else if (const auto *cancel = std::get_if<CancelRun>(&message)) {
        setRunning(target, cancel->attempt, false);
    } else if (const auto *attach = std::get_if<AttachFeed>(&message)) {
        const bool known = target.feeds.contains(attach->attachment);
        m_result.lateWork += !known && isLate(target) ? 1 : 0;
        if (!known && target.draining) {
            return;
        }
        target.feeds[attach->attachment] = {from.endpoint, attach->flow, attach->nextSequence};
        sendFromTarget(target, from.endpoint, FeedAttached{attach->attachment, attach->flow});
        if (!known) {
            pushFeed(target, attach->attachment, target.startCount);
        }
    } else if (const auto *detach = std::get_if<DetachFeed>(&message)) {
        target.feeds.erase(detach->attachment);
    }
}

template<SlotPolicy Policy>
void Simulation<Policy>::runRequest(TargetNode &target, BalancerNode &from, const RunRequest &request)
{
    m_result.lateWork += isLate(target) ? 1 : 0;
    const std::uint64_t tag = unpackTag(request.body);
    // The tag's lowest byte is the id of the service that the caller addressed.
    m_result.crossDeliveries += (tag & 0xffU) != value(target.service->id) ? 1 : 0;
    if (target.draining || target.running.size() >= target.service->slots) {
        return sendFromTarget(target, from.endpoint, RunRefused{request.attempt});
    }
    ++m_requestTallies[tag].executions;
    setRunning(target, request.attempt, true);
    const Duration took = exponential(target.service->serviceTime);
    after(took, [this, &target, startCount = target.startCount, balancer = from.endpoint, request, took] {
        if (!target.alive || target.startCount != startCount || !target.running.contains(request.attempt)) {
            return;
        }
        setRunning(target, request.attempt, false);
        m_answeredWork += measuring() ? took : Duration(0);
        const auto count = static_cast<std::uint16_t>(target.service->parts);
        for (std::uint16_t part = 0; part < count; ++part) {
            sendFromTarget(target, balancer, RunPart{request.attempt, part, count, request.body});
        }
    });
}

template<SlotPolicy Policy>
void Simulation<Policy>::setRunning(TargetNode &target, const AttemptKey &attempt, bool running)
{
    const TimePoint from = std::max(target.busyUpdatedAt, m_measurementStart);
    const TimePoint until = std::min(m_now, m_measurementEnd);
    if (until > from) {
        target.busy += (until - from) * static_cast<std::int64_t>(target.running.size());
    }
    target.busyUpdatedAt = m_now;
    if (running) {
        target.running.insert(attempt);
    } else {
        target.running.erase(attempt);
    }
}

// Targets answer to the source address of a packet.
template<SlotPolicy Policy>
void Simulation<Policy>::sendFromTarget(TargetNode &target, Endpoint balancer, const Message &message)
{
    BalancerNode &to = m_balancers[(balancer.address & ~NetworkMask) - 1];
    if (!connected(target.dataCentre, to.dataCentre)) {
        return;
    }
    transmit(latency(target.dataCentre, to.dataCentre), true, [this, &to, &target, message] {
        runOnBalancer(to, [this, &to, &target, message] {
            to.core->handleTarget(m_now, target.endpoint, message);
        });
    });
}

template<SlotPolicy Policy>
void Simulation<Policy>::pushFeed(TargetNode &target, AttemptKey attachment, std::uint64_t startCount)
{
    const auto at = target.feeds.find(attachment);
    if (!target.alive || target.startCount != startCount || at == target.feeds.end()) {
        return;
    }
    Feed &feed = at->second;
    sendFromTarget(target, feed.balancer, FeedPush{attachment, feed.flow, feed.next, packTag(feed.next)});
    ++feed.next;
    after(FeedInterval, [this, &target, attachment, startCount] {
        pushFeed(target, attachment, startCount);
    });
}

} // namespace Robinrail

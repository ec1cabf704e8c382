// SPDX-License-Identifier: MIT
// Fault schedule: implementation.
#include "fault_schedule.h"

namespace Robinrail::Soak {

namespace {

// A trouble's length, and the pause until the next one begins: two or three overlap most of the time.
constexpr milliseconds MinTrouble{200};
constexpr milliseconds MaxTrouble{3500};
constexpr milliseconds MinPause{100};
constexpr milliseconds MaxPause{1300};

constexpr milliseconds MinDelay{20};
constexpr milliseconds MaxDelay{400};

// A crashed target's address is free for this long at least, and a target that restarts at once needs so long.
constexpr milliseconds AddressPause{2500};
constexpr milliseconds RestartPause{300};

constexpr double HalfOfAll = 0.5;
constexpr double All = 1;

} // namespace

FaultSchedule::FaultSchedule(const Plan &plan, NodeHerd &nodes, TargetFleet &targets, OperatorDesk &desk, const Trouble &trouble, std::uint64_t seed)
    : m_plan(plan)
    , m_nodes(nodes)
    , m_trouble(trouble)
    , m_random(seed)
{
    const auto node = [this](bool replica, void (NodeHerd::*begin)(TimePoint, std::size_t, milliseconds)) {
        return [this, replica, begin](TimePoint now) {
            onNode(now, replica, begin);
        };
    };
    const auto links = [this](LinkFault fault) {
        return [this, fault](TimePoint now) {
            harmLinks(now, fault);
        };
    };
    m_kinds = {
        {4, node(false, &NodeHerd::kill)},
        {3, node(true, &NodeHerd::kill)},
        {3, node(false, &NodeHerd::terminate)},
        {2, node(true, &NodeHerd::terminate)},
        {3, node(false, &NodeHerd::pause)},
        {3, node(true, &NodeHerd::pause)},
        {2, node(true, &NodeHerd::killAndTear)},
        {2, node(true, &NodeHerd::killAndRefuse)},
        {3,
         [this](TimePoint now) {
             wipe(now);
         }},
        {2, links(LinkFault::Delayed)},
        {2, links(LinkFault::Silent)},
        {2, links(LinkFault::OneWay)},
        {2, links(LinkFault::ExistingConnectionsStalled)},
        {2,
         [this](TimePoint now) {
             m_nodes.resetLinks(now, pick(m_random, m_plan.replicas));
         }},
        {1,
         [this](TimePoint now) {
             killMany(now, true, All);
         }},
        {1,
         [this](TimePoint now) {
             killMany(now, false, HalfOfAll);
         }},
        {2,
         [this](TimePoint) {
             m_nodes.hangUp(pick(m_random, m_nodes.size()));
         }},
        {1,
         [this](TimePoint) {
             m_nodes.rewriteSeeds(pick(m_random, m_nodes.size()), pick(m_random, m_plan.replicas));
         }},
        {3,
         [&targets](TimePoint now) {
             targets.crash(now, AddressPause);
         }},
        {2,
         [&targets](TimePoint now) {
             targets.crash(now, RestartPause);
         }},
        {3,
         [&targets](TimePoint now) {
             targets.drain(now);
         }},
        {3,
         [this, &desk](TimePoint now) {
             m_withRoute = !m_withRoute;
             desk.change(now, m_withRoute);
         }},
    };
    std::vector<int> weights;
    for (const Kind &kind : m_kinds) {
        weights.push_back(kind.weight);
    }
    m_weights = std::discrete_distribution<std::size_t>(weights.begin(), weights.end());
}

void FaultSchedule::tick(TimePoint now)
{
    if (now >= m_due) {
        m_due = now + between(m_random, MinPause, MaxPause);
        ++m_drawn;
        m_kinds[m_weights(m_random)].begin(now);
    }
}

std::size_t FaultSchedule::drawn() const
{
    return m_drawn;
}

milliseconds FaultSchedule::length()
{
    return between(m_random, MinTrouble, MaxTrouble);
}

std::optional<std::size_t> FaultSchedule::idleNode(bool replica)
{
    std::vector<std::size_t> idle;
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        if (m_nodes.isReplica(i) == replica && m_nodes.idle(i)) {
            idle.push_back(i);
        }
    }
    return idle.empty() ? std::nullopt : std::optional(idle[pick(m_random, idle.size())]);
}

void FaultSchedule::onNode(TimePoint now, bool replica, void (NodeHerd::*trouble)(TimePoint, std::size_t, milliseconds))
{
    if (const std::optional<std::size_t> node = idleNode(replica)) {
        (m_nodes.*trouble)(now, *node, length());
    }
}

void FaultSchedule::harmLinks(TimePoint now, LinkFault fault)
{
    m_nodes.harmLinks(now, pick(m_random, m_plan.replicas), fault, between(m_random, MinDelay, MaxDelay), length());
}

void FaultSchedule::killMany(TimePoint now, bool replicas, double share)
{
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        if (m_nodes.isReplica(i) == replicas && m_nodes.idle(i) && chance(m_random, share)) {
            m_nodes.kill(now, i, length());
        }
    }
}

// One disk may be lost at a time, with the time that its successor needs to catch up: the others must have
// been out of trouble for a while.
void FaultSchedule::wipe(TimePoint now)
{
    const std::optional<std::size_t> victim = idleNode(true);
    if (!victim) {
        return;
    }
    for (std::size_t i = 0; i < m_plan.replicas; ++i) {
        if (i != *victim && m_trouble.near(now, m_plan.replica(i))) {
            return;
        }
    }
    m_nodes.killAndWipe(now, *victim, length());
}

} // namespace Robinrail::Soak

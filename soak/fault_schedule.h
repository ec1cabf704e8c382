// SPDX-License-Identifier: MIT
// Fault schedule: draws troubles by lot, in series and overlapping, within what the deployment must bear.
#pragma once

#include "node_herd.h"
#include "operator_desk.h"
#include "target_fleet.h"

#include <functional>
#include <utility>

namespace Robinrail::Soak {

class FaultSchedule
{
public:
    FaultSchedule(const Plan &plan, NodeHerd &nodes, TargetFleet &targets, OperatorDesk &desk, const Trouble &trouble, std::uint64_t seed);

    // Begins what is due.
    void tick(TimePoint now);

    std::size_t drawn() const;

private:
    struct Kind {
        int weight = 1;
        std::function<void(TimePoint)> begin;
    };
    std::optional<std::size_t> idleNode(bool replica);
    milliseconds length();
    void onNode(TimePoint now, bool replica, void (NodeHerd::*trouble)(TimePoint, std::size_t, milliseconds));
    void harmLinks(TimePoint now, LinkFault fault);
    void killMany(TimePoint now, bool replicas, double share);
    void wipe(TimePoint now);

    Plan m_plan;
    NodeHerd &m_nodes;
    const Trouble &m_trouble;
    Random m_random;
    std::vector<Kind> m_kinds;
    std::discrete_distribution<std::size_t> m_weights;
    TimePoint m_due;
    std::size_t m_drawn = 0;
    bool m_withRoute = false;
};

} // namespace Robinrail::Soak

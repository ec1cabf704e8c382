// SPDX-License-Identifier: MIT
// Steered flow table: implementation.
#include "steered_flow_table.h"

#include <algorithm>

namespace Robinrail {

using detail::SteeredFlow;

SteeredFlowTable::SteeredFlowTable(SteeringTargets &targets)
    : m_targets(targets)
{
}

SteeredFlow *SteeredFlowTable::findOrAdd(TimePoint now, const FlowKey &key)
{
    auto at = m_flows.find(key);
    if (at == m_flows.end()) {
        if (m_flows.size() >= MaxSteeredFlows) {
            return nullptr;
        }
        at = m_flows.emplace(key, SteeredFlow{}).first;
    }
    at->second.lastSeen = CoarseTime(now);
    return &at->second;
}

void SteeredFlowTable::remove(const FlowKey &key)
{
    const auto at = m_flows.find(key);
    if (at != m_flows.end()) {
        release(at->second);
        m_flows.erase(at);
    }
}

void SteeredFlowTable::assign(SteeredFlow &flow, SteeredTarget &target)
{
    if (flow.counted && flow.target == target.token) {
        return;
    }
    release(flow);
    flow.target = target.token;
    flow.counted = true;
    ++target.flows;
}

void SteeredFlowTable::release(SteeredFlow &flow)
{
    setBusy(flow, false);
    SteeredTarget *target = flow.counted ? m_targets.find(flow.target) : nullptr;
    if (target != nullptr && target->flows > 0) {
        --target->flows;
    }
    flow.counted = false;
}

void SteeredFlowTable::setBusy(SteeredFlow &flow, bool busy)
{
    SteeredTarget *target = flow.busy != busy ? m_targets.find(flow.target) : nullptr;
    if (target != nullptr) {
        target->busy = busy ? target->busy + 1 : std::max(target->busy, 1U) - 1;
    }
    flow.busy = busy;
}

std::vector<FlowReset> SteeredFlowTable::takeResets()
{
    std::vector<FlowReset> resets;
    if (!m_targets.anyResetPending()) {
        return resets;
    }
    boost::unordered::erase_if(m_flows, [&](auto &each) {
        auto &[key, flow] = each;
        const SteeredTarget *target = flow.counted ? m_targets.find(flow.target) : nullptr;
        if (target == nullptr || !target->resetPending || resets.size() >= MaxResetsPerTick) {
            return false;
        }
        release(flow);
        if (flow.open) {
            resets.push_back({key, target->record.key, flow.acknowledged});
        }
        return flow.open; // Further copies of an opening packet must still find its first target.
    });
    if (resets.size() < MaxResetsPerTick) {
        m_targets.clearResetPending();
    }
    return resets;
}

void SteeredFlowTable::sweep(TimePoint now, Duration idle)
{
    boost::unordered::erase_if(m_flows, [&](auto &each) {
        SteeredFlow &flow = each.second;
        if (flow.busy && flow.sentAt.elapsed(now) >= MaxBusyTime) {
            setBusy(flow, false);
        }
        if (flow.lastSeen.elapsed(now) < idle) {
            return false;
        }
        release(flow);
        return true;
    });
}

const SteeredFlows &SteeredFlowTable::all() const
{
    return m_flows;
}

} // namespace Robinrail

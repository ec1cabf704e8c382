// SPDX-License-Identifier: MIT
// Flow table: request windows and storage of flows.
#include "flow_table.h"

namespace Robinrail {

namespace {

constexpr std::uint32_t WindowSize = 64;

} // namespace

RequestWindow::RequestWindow(std::uint32_t highest, std::uint64_t bits)
    : m_bits(bits)
    , m_highest(highest)
{
}

RequestAge RequestWindow::lookUp(RequestId id) const
{
    const std::uint32_t number = value(id);
    if (number > m_highest) {
        return RequestAge::Fresh;
    }
    const std::uint32_t distance = m_highest - number;
    if (distance >= WindowSize) {
        return RequestAge::BelowWindow;
    }
    return (m_bits >> distance & 1U) != 0 ? RequestAge::Seen : RequestAge::Fresh;
}

RequestAge RequestWindow::record(RequestId id)
{
    const RequestAge before = lookUp(id);
    if (before != RequestAge::Fresh) {
        return before;
    }
    const std::uint32_t number = value(id);
    if (number > m_highest) {
        const std::uint32_t shift = number - m_highest;
        m_bits = shift < WindowSize ? m_bits << shift : 0;
        m_highest = number;
    }
    m_bits |= std::uint64_t{1} << (m_highest - number);
    return before;
}

std::uint32_t RequestWindow::highest() const
{
    return m_highest;
}

std::uint64_t RequestWindow::bits() const
{
    return m_bits;
}

Flow *FlowTable::insert(FlowId id, const Flow &flow)
{
    if (m_flows.size() >= MaxFlows) {
        return nullptr;
    }
    const auto [at, added] = m_flows.emplace(id, flow);
    return added ? &at->second : nullptr;
}

Flow *FlowTable::find(FlowId id)
{
    const auto at = m_flows.find(id);
    return at != m_flows.end() ? &at->second : nullptr;
}

void FlowTable::erase(FlowId id)
{
    m_flows.erase(id);
}

std::size_t FlowTable::size() const
{
    return m_flows.size();
}

} // namespace Robinrail

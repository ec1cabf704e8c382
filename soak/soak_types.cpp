// SPDX-License-Identifier: MIT
// Soak types: implementation.
#include "soak_types.h"

#include "log.h"

#include <cassert>

namespace Robinrail::Soak {

void Promises::broken(std::string_view promise, const std::string &detail)
{
    ++m_count;
    LogLine(LogLevel::Error, "promise-broken").with("promise", promise).with("detail", detail);
}

std::size_t Promises::count() const
{
    return m_count;
}

void Trouble::begin(TimePoint /*now*/, std::uint32_t address)
{
    ++m_nodes[address].open;
}

void Trouble::settle(TimePoint now, std::uint32_t address)
{
    Span &span = m_nodes[address];
    assert(span.open > 0);
    --span.open;
    span.ended = now;
}

bool Trouble::near(TimePoint now, std::uint32_t address) const
{
    const auto at = m_nodes.find(address);
    return at != m_nodes.end() && (at->second.open > 0 || now - at->second.ended < ContactTime);
}

bool Trouble::controlCalm(TimePoint now, const Plan &plan) const
{
    std::size_t troubled = 0;
    for (std::size_t i = 0; i < plan.replicas; ++i) {
        troubled += near(now, plan.replica(i)) ? 1 : 0;
    }
    return troubled * 2 < plan.replicas;
}

} // namespace Robinrail::Soak

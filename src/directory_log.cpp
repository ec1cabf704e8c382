// SPDX-License-Identifier: MIT
// Directory log: implementation.
#include "directory_log.h"

#include <algorithm>
#include <cassert>

namespace Robinrail {

DirectoryLog::DirectoryLog(std::uint64_t life)
    : m_life(life)
{
    assert(life != 0);
}

void DirectoryLog::changed(TargetKey key)
{
    std::uint64_t &number = m_numbers[value(key)];
    m_order.erase(number);
    number = ++m_newest;
    m_order.emplace_hint(m_order.end(), number, key);
}

void DirectoryLog::forget(TargetKey key)
{
    const auto at = m_numbers.find(value(key));
    if (at == m_numbers.end()) {
        return;
    }
    m_forgotten = std::max(m_forgotten, at->second);
    m_order.erase(at->second);
    m_numbers.erase(at);
}

std::uint64_t DirectoryLog::life() const
{
    return m_life;
}

std::uint64_t DirectoryLog::newest() const
{
    return m_newest;
}

std::uint64_t DirectoryLog::resume(std::uint64_t life, std::uint64_t after) const
{
    const bool known = life == m_life && after <= m_newest;
    return known && isCompleteAfter(after) ? after : 0;
}

bool DirectoryLog::isCompleteAfter(std::uint64_t number) const
{
    return number >= m_forgotten;
}

DirectoryLogSlice DirectoryLog::after(std::uint64_t number, std::size_t limit) const
{
    DirectoryLogSlice slice{m_newest, {}};
    for (auto at = m_order.upper_bound(number); at != m_order.end(); ++at) {
        if (slice.keys.size() == limit) {
            slice.upTo = std::prev(at)->first;
            break;
        }
        slice.keys.push_back(at->second);
    }
    return slice;
}

} // namespace Robinrail

// SPDX-License-Identifier: MIT
// Data centre drains: which data centres get no new flows, as the replicas agree on it.
//
// Orders carry no number of their own, so the log of the replicas orders them: the last one holds, and an order that
// finds its effect in force changes nothing. Each change raises the revision, by which balancers and replicas tell the
// newer of two lists.
#pragma once

#include "codec.h"

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

namespace Robinrail {

// An operator's order: empty a data centre of new flows, or take it back.
struct DataCentreDrainOrder {
    std::string dataCentre;
    bool drained = true;

    bool operator==(const DataCentreDrainOrder &) const = default;

    auto fields()
    {
        return std::tie(dataCentre, drained);
    }
};

class DataCentreDrains
{
public:
    // Puts an order in force; whether that changed anything.
    bool apply(const DataCentreDrainOrder &order)
    {
        const auto at = std::lower_bound(m_drained.begin(), m_drained.end(), order.dataCentre);
        const bool drained = at != m_drained.end() && *at == order.dataCentre;
        if (drained == order.drained) {
            return false;
        }
        if (order.drained) {
            m_drained.insert(at, order.dataCentre);
        } else {
            m_drained.erase(at);
        }
        ++m_revision;
        return true;
    }

    // How many orders changed the list; 0 without any.
    std::uint64_t revision() const
    {
        return m_revision;
    }

    // Sorted by name.
    const std::vector<std::string> &drained() const
    {
        return m_drained;
    }

    bool operator==(const DataCentreDrains &) const = default;

    auto fields()
    {
        return std::tie(m_revision, m_drained);
    }

private:
    std::uint64_t m_revision = 0;
    std::vector<std::string> m_drained;
};

} // namespace Robinrail

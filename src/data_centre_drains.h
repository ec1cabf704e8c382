// SPDX-License-Identifier: MIT
// Data centre drains: the data centres that are assigned no new flows, as replicated state of the replicas.
//
// Orders carry no sequence number; the replicated log orders them. The last order is in force, and an order whose effect is
// already in force changes nothing. Each change increments the revision, by which balancers and replicas recognise the newer
// of two lists.
#pragma once

#include "codec.h"

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

namespace Robinrail {

// An operator's order: stop assigning new flows to a data centre, or resume.
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
    // Applies an order. Returns whether it changed anything.
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

    // The number of orders that changed the list.
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

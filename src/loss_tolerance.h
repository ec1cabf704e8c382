// SPDX-License-Identifier: MIT
// Loss tolerance: the simultaneous losses that information must survive, and whether the replicas that hold it suffice.
//
// With one replica in each data centre, tolerating the loss of a number of replicas includes the loss of a data centre.
// With several, the first acknowledgements all come from nearby replicas in the same data centre, which fail together.
#pragma once

#include "node_message.h"

#include <map>
#include <set>

namespace Robinrail {

// The replicas that hold a piece of information, each with its data centre.
using ReplicaLocations = std::map<ReplicaId, DataCentreId>;

struct LossTolerance {
    std::size_t replicas = 0; // Number of replicas that may be lost at the same time, including their disks,
    std::size_t dataCentres = 0; // or number of data centres of which all replicas may be lost.

    // Whether at least one of the holders remains after any such loss.
    bool isMetBy(const ReplicaLocations &holders) const
    {
        std::set<DataCentreId> dataCentresHeld;
        for (const auto &[replica, dataCentre] : holders) {
            dataCentresHeld.insert(dataCentre);
        }
        return holders.size() > replicas && dataCentresHeld.size() > dataCentres;
    }
};

} // namespace Robinrail

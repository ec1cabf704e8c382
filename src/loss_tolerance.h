// SPDX-License-Identifier: MIT
// Loss tolerance: which losses at once a promise must outlive, and whether its witnesses do.
//
// Where each data centre has one replica, a loss of so many replicas covers that of a data centre. With several in each,
// the first answers all come from the nearest ones, which are lost together.
#pragma once

#include "node_message.h"

#include <map>
#include <set>

namespace Robinrail {

// The replicas that know of something, by where they are.
using ReplicaLocations = std::map<ReplicaId, DataCentreId>;

struct LossTolerance {
    std::size_t replicas = 0; // So many replicas may be lost at once, with their disks,
    std::size_t dataCentres = 0; // or all replicas of so many data centres.

    // Whether any such loss leaves one of the witnesses.
    bool isMetBy(const ReplicaLocations &witnesses) const
    {
        std::set<DataCentreId> places;
        for (const auto &[replica, dataCentre] : witnesses) {
            places.insert(dataCentre);
        }
        return witnesses.size() > replicas && places.size() > dataCentres;
    }
};

} // namespace Robinrail

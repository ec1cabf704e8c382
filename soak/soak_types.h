// SPDX-License-Identifier: MIT
// Soak types: the deployment that the fault soak plays, and the record of promises that were broken.
#pragma once

#include "flow_packet.h"
#include "net.h"
#include "target_record.h"

#include <boost/asio/io_context.hpp>
#include <pcg_random.hpp>

#include <map>
#include <random>
#include <string>
#include <vector>

namespace Robinrail::Soak {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Bounds of the promises, as small deployments set them: after this without trouble near it a node must keep
// them, a drain or a change must be in force, and service must be back.
inline constexpr Duration FaultGracePeriod = seconds(4);
inline constexpr Duration DrainDeadline = seconds(3);
inline constexpr Duration ApplyDeadline = seconds(3);
inline constexpr Duration RecoveryDeadline = seconds(12);

// A replica that lost its disk counts as lost for this long after its start.
inline constexpr Duration CatchUpTime = seconds(4);

// The steps of all stand-ins' clocks.
inline constexpr milliseconds TickInterval{10};

using Random = pcg64;

inline bool chance(Random &random, double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(random) < probability;
}

// A whole number from 0 up to `count` - 1.
inline std::size_t uniformIndex(Random &random, std::size_t count)
{
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
}

inline milliseconds uniformDuration(Random &random, milliseconds min, milliseconds max)
{
    return milliseconds(std::uniform_int_distribution<std::int64_t>(min.count(), max.count())(random));
}

// Who has which address. A run has a loopback network of its own, so that runs side by side never meet.
struct Topology {
    std::uint8_t network = 0; // The second number of each address, 127.x.
    std::size_t replicas = 3;
    std::size_t balancers = 4;
    std::size_t targets = 10;
    std::size_t callers = 30;
    std::size_t seedNodes = 3; // Replicas that the settings of a node name, after the first start.

    static constexpr std::uint16_t ControlPort = 8166;
    static constexpr std::uint16_t ReadinessPort = 8167;
    static constexpr std::uint16_t PacketPort = 8172;
    static constexpr std::uint16_t LinkPort = 7720; // Where a proxy takes links for a replica.
    static constexpr std::uint16_t ReplicaLinkPort = 7721; // Where the replica itself takes them.
    static constexpr std::uint16_t TargetPort = 8080;

    std::uint32_t address(std::uint8_t subnet, std::size_t number) const
    {
        return 0x7f000000U | std::uint32_t{network} << 16U | std::uint32_t{subnet} << 8U | static_cast<std::uint32_t>(number + 1);
    }
    std::uint32_t replica(std::size_t number) const
    {
        return address(1, number);
    }
    std::uint32_t balancer(std::size_t number) const
    {
        return address(2, number);
    }
    std::uint32_t target(std::size_t number) const
    {
        return address(3, number);
    }
    std::uint32_t caller() const
    {
        return address(4, 0);
    }
};

inline const std::vector<std::string> DataCentres = {"here", "there"};

// The one that operators empty and take back.
inline const std::string DrainedDataCentre = "there";

// Seeds from here on also drain a data centre and let targets start again under their keys. What a lower one plays stays as
// it was when it failed.
inline constexpr std::uint64_t FirstRunWithDrains = 1000;

// Seeds from here on name only a majority of the replicas in the settings of a node that starts again, so that one with an
// empty disk may have to learn from a leader that it was not told of.
inline constexpr std::uint64_t FirstRunWithPartialSeedNodes = 2000;

// The routes that never change, one for each service, and one that comes and goes.
inline const std::vector<std::string> Services = {"quotes", "decks"};
inline constexpr Endpoint FirstRoute{0xc6120001, 443};
inline constexpr Endpoint SecondRoute{0xc6120002, 443};
inline constexpr Endpoint ChangingRoute{0xc6120003, 443};

// What the route's service is, whatever the version.
inline const std::string &serviceForRoute(Endpoint route)
{
    return route == SecondRoute ? Services[1] : Services[0];
}

// Collects what went wrong. A promise is broken once and for all: the run fails.
class Violations
{
public:
    void report(std::string_view invariant, const std::string &detail);
    std::size_t count() const;

private:
    std::size_t m_count = 0;
};

// When and where there was trouble, so that promises with a time bound are asked only of nodes out of it.
class FaultTracker
{
public:
    // A node (by its address) is in trouble from now on, until settled() and the contact time after it.
    void begin(TimePoint now, std::uint32_t address);
    void end(TimePoint now, std::uint32_t address);

    bool recentlyFaulty(TimePoint now, std::uint32_t address) const;

    // Whether so few replicas are in trouble that the others have a quorum.
    bool replicaQuorumHealthy(TimePoint now, const Topology &topology) const;

private:
    struct NodeFaults {
        int active = 0;
        TimePoint lastEnd;
    };
    std::map<std::uint32_t, NodeFaults> m_nodeFaults;
};

} // namespace Robinrail::Soak

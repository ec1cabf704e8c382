// SPDX-License-Identifier: MIT
// Soak types: topology and time limits of the simulated deployment, violations of invariants, and the faults in progress.
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

// Time limits of the checks, as small deployments set them: how long after its last fault a node is checked again, and within
// which time a drain or a change must be in force and service must have recovered.
inline constexpr Duration FaultGracePeriod = seconds(4);
inline constexpr Duration DrainDeadline = seconds(3);
inline constexpr Duration ApplyDeadline = seconds(3);
inline constexpr Duration RecoveryDeadline = seconds(12);

// A replica that lost its disk counts as failed for this long after its restart.
inline constexpr Duration CatchUpTime = seconds(4);

// Interval between two ticks of all simulated parties.
inline constexpr milliseconds TickInterval{10};

using Random = pcg64;

inline bool chance(Random &random, double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(random) < probability;
}

// A uniformly distributed index below `count`.
inline std::size_t uniformIndex(Random &random, std::size_t count)
{
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
}

inline milliseconds uniformDuration(Random &random, milliseconds min, milliseconds max)
{
    return milliseconds(std::uniform_int_distribution<std::int64_t>(min.count(), max.count())(random));
}

// Number and addresses of all nodes. Each run has a loopback network of its own, so that concurrent runs can't reach each other.
struct Topology {
    std::uint8_t network = 0; // Second octet of all addresses, 127.x.
    std::size_t replicas = 3;
    std::size_t balancers = 4;
    std::size_t targets = 10;
    std::size_t callers = 30;
    std::size_t seedNodes = 3; // Number of replicas listed in the settings of a restarted node.
    bool overload = false; // From FirstRunWithOverload on.
    bool births = false; // All targets give their birth, see namesKnownServices().

    static constexpr std::uint16_t ControlPort = 8166;
    static constexpr std::uint16_t ReadinessPort = 8167;
    static constexpr std::uint16_t PacketPort = 8172;
    static constexpr std::uint16_t LinkPort = 7720; // Where the fault proxy of a replica accepts links.
    static constexpr std::uint16_t ReplicaLinkPort = 7721; // Where the replica accepts links from its proxy.
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
    // Admission control tells callers apart by their addresses, so they need several of them under overload.
    std::size_t callerAddresses() const
    {
        constexpr std::size_t Addresses = 64;
        return overload ? Addresses : 1;
    }
    std::uint32_t caller(std::size_t number = 0) const
    {
        return address(4, number % callerAddresses());
    }
};

inline const std::vector<std::string> DataCentres = {"here", "there"};

// Index of a balancer's data centre, by its address.
inline std::size_t dataCentreOfBalancer(std::uint32_t address)
{
    return address % DataCentres.size();
}

// The data centre that operators drain and restore.
inline const std::string DrainedDataCentre = "there";

// Runs with this seed or a higher one also drain a data centre and restart targets under their previous keys. Lower seeds
// keep their sequence of events, so that recorded failures stay reproducible.
inline constexpr std::uint64_t FirstRunWithDrains = 1000;

// Runs with this seed or a higher one list only a majority of the replicas in the settings of a restarted node, so that a
// replica with an empty disk may have to catch up from a leader that its settings don't list.
inline constexpr std::uint64_t FirstRunWithPartialSeedNodes = 2000;

// In runs with this seed or a higher one, callers multiply their rate again and again beyond what the targets can process, targets
// have slots and a queue, single ones are slow for some time, and documents specify priorities and latency objectives.
inline constexpr std::uint64_t FirstRunWithOverload = 5000;

// In runs with this seed or a higher one, targets answer opening packets late while balancers are stopped.
inline constexpr std::uint64_t FirstRunWithLateAnswers = 4000;
// Runs with this seed or a higher one have a foreign writer, which announces ids of its own at the targets' addresses, and a
// client that sends malformed requests to each HTTP listener.
inline constexpr std::uint64_t FirstRunWithForeignWriter = 3000;

// Whether it also names known services, always with a member that is missing or invalid, and all targets give their birth: in the
// last seeds without late answers, and in all from 6000 on.
inline bool namesKnownServices(std::uint64_t seed)
{
    constexpr std::uint64_t First = 3500;
    constexpr std::uint64_t FirstUnderOverload = 6000;
    return seed >= FirstUnderOverload || (seed >= First && seed < FirstRunWithLateAnswers);
}

// Two fixed routes, one for each service, and one that operators add and remove.
inline const std::vector<std::string> Services = {"quotes", "decks"};
inline constexpr Endpoint FirstRoute{0xc6120001, 443};
inline constexpr Endpoint SecondRoute{0xc6120002, 443};
inline constexpr Endpoint ChangingRoute{0xc6120003, 443};

// Runs with overload have a second route for the first service, with less urgent requests.
inline constexpr Endpoint BulkRoute{0xc6120004, 443};

// The priorities of the fixed routes, and the time within which their requests are to be answered. The changing route has no
// latency objective, so that admission control never refuses its flows.
inline constexpr std::uint8_t UrgentPriority = 0;
inline constexpr std::uint8_t MiddlePriority = 1;
inline constexpr std::uint8_t BulkPriority = 2;
inline constexpr Duration LatencyObjective = milliseconds(500);

inline std::uint8_t priorityOfRoute(Endpoint route)
{
    return route == BulkRoute ? BulkPriority : route == SecondRoute ? MiddlePriority : UrgentPriority;
}

// The service of a route, which is the same in all versions.
inline const std::string &serviceForRoute(Endpoint route)
{
    return route == SecondRoute ? Services[1] : Services[0];
}

// Logs and counts violations of invariants. A single one fails the run.
class Violations
{
public:
    void report(std::string_view invariant, const std::string &detail);
    std::size_t count() const;

private:
    std::size_t m_count = 0;
};

// Tracks the faults of each node, so that invariants with a time limit are checked only on unaffected nodes.
class FaultTracker
{
public:
    // Beginning and end of a fault of the node with this address. Faults may overlap; each begin() needs an end().
    void begin(TimePoint now, std::uint32_t address);
    void end(TimePoint now, std::uint32_t address);

    // Whether a fault of the node is active or the last one ended less than FaultGracePeriod ago.
    bool recentlyFaulty(TimePoint now, std::uint32_t address) const;

    // Whether the replicas without a recent fault are a majority.
    bool replicaQuorumHealthy(TimePoint now, const Topology &topology) const;

private:
    struct NodeFaults {
        int active = 0;
        TimePoint lastEnd;
    };
    std::map<std::uint32_t, NodeFaults> m_nodeFaults;
};

} // namespace Robinrail::Soak

// SPDX-License-Identifier: MIT
// Node messages: messages between replicas and flow-steering balancers over their links.
#pragma once

#include "directory_digest.h"
#include "flow_packet.h"
#include "link_message.h"
#include "routing_table.h"
#include "target_leases.h"
#include "target_record.h"
#include "version_tracker.h"

#include <array>
#include <string_view>

namespace Robinrail {

enum class NodeRole : std::uint8_t {
    Replica,
    Balancer,
};

// First message on each link, in both directions. A node that reads OpeningPins and later kinds sends it twice: earlier releases close a link on
// a message of a kind or with a member that they do not know, but ignore a second hello.
struct NodeHello {
    NodeRole role = NodeRole::Balancer;
    ReplicaId replica{}; // 0 for a balancer.
    DataCentreId dataCentre{};

    auto fields()
    {
        return std::tie(role, replica, dataCentre);
    }
};

// Keeps an idle link alive.
struct NodePing {
    auto fields()
    {
        return std::tie();
    }
};

// A replica and its data centre; the data centre is 0 while it is not known.
struct ReplicaLocation {
    ReplicaId replica{};
    DataCentreId dataCentre{};

    bool operator==(const ReplicaLocation &) const = default;

    auto fields()
    {
        return std::tie(replica, dataCentre);
    }
};

// The replicas that the sender knows, with their locations.
struct ReplicaList {
    std::vector<ReplicaLocation> replicas;

    auto fields()
    {
        return std::tie(replicas);
    }
};

// States of targets that the receiver may not know yet.
struct TargetStatusList {
    std::vector<TargetStatus> statuses;

    auto fields()
    {
        return std::tie(statuses);
    }
};

// A balancer subscribes to the changes of a replica's target directory that follow change number `after`. `life` identifies
// the change log that the number belongs to; 0 asks for the whole directory.
struct FollowDirectory {
    std::uint64_t life = 0;
    std::uint64_t after = 0;

    auto fields()
    {
        return std::tie(life, after);
    }
};

// A target in a directory page; 32 bytes if its key has 40 bits and another target of the page has the same service.
struct DirectoryPageEntry {
    TargetKey key{};
    std::uint16_t service = 0; // Index into DirectoryPage::services.
    Endpoint address;
    DataCentreId dataCentre{};
    std::uint32_t slots = 1;
    TargetPhase phase = TargetPhase::Serving;
    bool silent = false;
    std::uint32_t warmupMs = 0; // Remaining warm-up time, milliseconds.
    std::uint64_t sequence = 0;
    std::uint64_t born = 0;

    auto fields()
    {
        return std::tie(key, service, address, dataCentre, slots, phase, silent, warmupMs, sequence, born);
    }
};

// Targets whose last change has a number above `after` and up to `upTo`, in the order of the changes. A page with `after` 0
// starts a transfer of the whole directory: targets that are not in it are not in the directory.
struct DirectoryPage {
    std::uint64_t life = 0;
    std::uint64_t after = 0;
    std::uint64_t upTo = 0;
    bool last = false; // No further changes existed when the page was made.
    bool informed = false; // The replica knows all targets: others have told it, or all have had time to announce themselves.
    std::vector<std::string> services;
    std::vector<DirectoryPageEntry> targets;

    auto fields()
    {
        return std::tie(life, after, upTo, last, informed, services, targets);
    }
};

// Confirms that the sending replica knows that this target is draining or has left.
struct TargetReceipt {
    TargetLifetime lifetime;
    TargetPhase phase = TargetPhase::Serving;

    auto fields()
    {
        return std::tie(lifetime, phase);
    }
};

// Answer to a TargetStatusList, for the targets in it that are draining or have left.
struct TargetReceipts {
    std::vector<TargetReceipt> receipts;

    auto fields()
    {
        return std::tie(receipts);
    }
};

// Reports targets that do not answer: data of open flows to them was retransmitted, and no packet has come from them since.
// A balancer sends it to the replica that it follows, which forwards it to the replicas that are to probe the targets.
struct TargetsUnanswered {
    std::vector<TargetKey> keys;

    auto fields()
    {
        return std::tie(keys);
    }
};

// Reports that the reporter has just failed to connect to these targets. Earlier releases send it; it names no lifetime, so it is
// not used: a target may have restarted since under its key.
struct TargetsUnreachable {
    ReplicaLocation reporter;
    std::vector<TargetKey> keys;

    auto fields()
    {
        return std::tie(reporter, keys);
    }
};

// A replica's newest committed routing, sent to balancers and the other replicas: the version of the routing table, which is
// transferred on request, and the complete list of drained data centres, which is short. `confirmed`: the replica recently
// had all that a quorum had, so that no newer version was accepted before that time.
struct RoutingOffer {
    RoutingProgress progress;
    bool confirmed = false;
    std::vector<DataCentreId> drained;

    auto fields()
    {
        return std::tie(progress.version, confirmed, progress.drainRevision, drained);
    }
};

// A balancer requests the newest routing table.
struct RoutingRequest {
    auto fields()
    {
        return std::tie();
    }
};

struct RoutingUpdate {
    RoutingTable table;

    auto fields()
    {
        return std::tie(table);
    }
};

// One entry of OpeningPins; about 20 bytes.
struct OpeningPinEntry {
    std::uint32_t callerAddress = 0;
    std::uint16_t callerPort = 0;
    std::uint16_t route = 0; // Index into OpeningPins::routes.
    FlowToken target{};
    std::uint16_t ageMs = 0; // Of the first copy of the opening packet, milliseconds.
    bool open = false; // Whether the flow is known to be open at the target.

    auto fields()
    {
        return std::tie(callerAddress, callerPort, route, target, ageMs, open);
    }
};

// Tells the other balancers of a data centre to which targets flows belong whose opening was not answered yet, or whose token
// changed. A balancer sends it to the replica that it follows, which passes it on to its balancers in that data centre and to the
// other replicas. Only sent to peers that repeated their hello, see NodeLinks.
struct OpeningPins {
    DataCentreId dataCentre{};
    std::vector<Endpoint> routes;
    std::vector<OpeningPinEntry> pins;

    auto fields()
    {
        return std::tie(dataCentre, routes, pins);
    }
};

// Reports that the reporter has just failed to connect to these targets in these lifetimes. A replica sends it to the other
// replicas, and each replica to its balancers. Only sent to peers that repeated their hello, see NodeLinks.
struct LifetimesUnreachable {
    ReplicaLocation reporter;
    std::vector<TargetLifetime> lifetimes;

    auto fields()
    {
        return std::tie(reporter, lifetimes);
    }
};

using NodeMessage = std::variant<NodeHello,
                                 NodePing,
                                 RaftEnvelope,
                                 ReplicaList,
                                 TargetStatusList,
                                 DirectoryDigest,
                                 TargetLeaseUpdate,
                                 TargetReceipts,
                                 RoutingOffer,
                                 RoutingRequest,
                                 RoutingUpdate,
                                 TargetsUnanswered,
                                 TargetsUnreachable,
                                 FollowDirectory,
                                 DirectoryPage,
                                 DirectoryQuery,
                                 DirectoryQueryDone,
                                 DirectoryCompare,
                                 OpeningPins,
                                 LifetimesUnreachable>;

// Names of the kinds of messages in metrics and logs, in the order of the variant.
inline constexpr std::array<std::string_view, std::variant_size_v<NodeMessage>> NodeMessageNames{"hello",
                                                                                                 "ping",
                                                                                                 "raft",
                                                                                                 "replica-list",
                                                                                                 "target-status",
                                                                                                 "directory-digest",
                                                                                                 "targets-heard",
                                                                                                 "target-receipts",
                                                                                                 "routing-offer",
                                                                                                 "routing-request",
                                                                                                 "routing-update",
                                                                                                 "targets-unanswered",
                                                                                                 "targets-unreachable",
                                                                                                 "follow-directory",
                                                                                                 "directory-page",
                                                                                                 "directory-query",
                                                                                                 "directory-answered",
                                                                                                 "directory-compare",
                                                                                                 "opening-pins",
                                                                                                 "lifetimes-unreachable"};

} // namespace Robinrail

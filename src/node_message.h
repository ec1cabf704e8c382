// SPDX-License-Identifier: MIT
// Node messages: what replicas and steering balancers say to each other over their links.
#pragma once

#include "directory_digest.h"
#include "heard_targets.h"
#include "link_message.h"
#include "routing_table.h"
#include "target_record.h"
#include "version_watch.h"

#include <array>
#include <string_view>

namespace Robinrail {

enum class NodeRole : std::uint8_t {
    Replica,
    Balancer,
};

// The first message on each link, in both directions.
struct NodeHello {
    NodeRole role = NodeRole::Balancer;
    ReplicaId replica{}; // 0 for a balancer.
    DataCentreId dataCentre{};

    auto fields()
    {
        return std::tie(role, replica, dataCentre);
    }
};

// Keeps a link alive that has nothing else to say.
struct NodePing {
    auto fields()
    {
        return std::tie();
    }
};

// A replica and its data centre; 0 as long as that is not known.
struct ReplicaLocation {
    ReplicaId replica{};
    DataCentreId dataCentre{};

    bool operator==(const ReplicaLocation &) const = default;

    auto fields()
    {
        return std::tie(replica, dataCentre);
    }
};

// Where replicas are, as far as the sender knows.
struct ReplicaList {
    std::vector<ReplicaLocation> replicas;

    auto fields()
    {
        return std::tie(replicas);
    }
};

struct TargetStatusList {
    std::vector<TargetStatus> statuses;

    auto fields()
    {
        return std::tie(statuses);
    }
};

// A balancer asks a replica for what changed in its directory after a number of the log that `life` names, from now on.
// Life 0: for all of it.
struct FollowDirectory {
    std::uint64_t life = 0;
    std::uint64_t after = 0;

    auto fields()
    {
        return std::tie(life, after);
    }
};

// A target as a page of the directory has it: 32 bytes with a key of 40 bits and a service that
// others on the page have, too.
struct DirectoryPageEntry {
    TargetKey key{};
    std::uint16_t service = 0; // Position in the page.
    Endpoint address;
    DataCentreId dataCentre{};
    std::uint32_t slots = 1;
    TargetPhase phase = TargetPhase::Serving;
    bool silent = false;
    std::uint32_t warmupMs = 0; // How long it stays slow, milliseconds.
    std::uint64_t sequence = 0;
    std::uint64_t born = 0;

    auto fields()
    {
        return std::tie(key, service, address, dataCentre, slots, phase, silent, warmupMs, sequence, born);
    }
};

// Targets that changed after a number, in the order of their changes, up to another number. After 0: what follows is the
// whole directory, and a target that does not come is not in it.
struct DirectoryPage {
    std::uint64_t life = 0;
    std::uint64_t after = 0;
    std::uint64_t upTo = 0;
    bool last = false; // Nothing followed when the page was made.
    bool informed = false; // The replica has been told of all targets, or they have had time to announce themselves.
    std::vector<std::string> services;
    std::vector<DirectoryPageEntry> targets;

    auto fields()
    {
        return std::tie(life, after, upTo, last, informed, services, targets);
    }
};

// The sending replica knows that this target drains or left.
struct TargetReceipt {
    TargetLifetime lifetime;
    TargetPhase phase = TargetPhase::Serving;

    auto fields()
    {
        return std::tie(lifetime, phase);
    }
};

// The answer to a list of news, for those targets of it that drain or left.
struct TargetReceipts {
    std::vector<TargetReceipt> receipts;

    auto fields()
    {
        return std::tie(receipts);
    }
};

// A balancer to the replica that it follows, and that one to the others: data of open flows to these targets was
// repeated, and nothing came from them since.
struct TargetsUnanswered {
    std::vector<TargetKey> keys;

    auto fields()
    {
        return std::tie(keys);
    }
};

// A replica to the others, and each to balancers: the finder tried just now to connect to these targets, in vain.
struct TargetsUnreachable {
    ReplicaLocation reporter;
    std::vector<TargetKey> keys;

    auto fields()
    {
        return std::tie(reporter, keys);
    }
};

// A replica's newest committed routing, to balancers and to the other replicas: the number of its table, which is asked
// for, and the drained data centres in full, as there are few. Confirmed: it held of late all that a quorum had, so
// nothing newer was accepted before that.
struct RoutingOffer {
    RoutingProgress progress;
    bool confirmed = false;
    std::vector<DataCentreId> drained;

    auto fields()
    {
        return std::tie(progress.version, confirmed, progress.drainRevision, drained);
    }
};

// A balancer asks for the newest table.
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

using NodeMessage = std::variant<NodeHello,
                                 NodePing,
                                 RaftEnvelope,
                                 ReplicaList,
                                 TargetStatusList,
                                 DirectoryDigest,
                                 TargetsHeard,
                                 TargetReceipts,
                                 RoutingOffer,
                                 RoutingRequest,
                                 RoutingUpdate,
                                 TargetsUnanswered,
                                 TargetsUnreachable,
                                 FollowDirectory,
                                 DirectoryPage,
                                 DirectoryQuery,
                                 DirectoryAnswered,
                                 DirectoryCompare>;

// What each kind of message is called in figures, in the order of the variant.
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
                                                                                                 "directory-compare"};

} // namespace Robinrail

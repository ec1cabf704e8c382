// SPDX-License-Identifier: MIT
// Node messages: what replicas and steering balancers say to each other over their links.
#pragma once

#include "link_message.h"
#include "routing_table.h"
#include "target_record.h"

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

// Where replicas are, as far as the sender knows.
struct ReplicaList {
    std::vector<ReplicaId> replicas;

    auto fields()
    {
        return std::tie(replicas);
    }
};

struct TargetStatusList {
    std::vector<TargetStatus> news;

    auto fields()
    {
        return std::tie(news);
    }
};

// The sender has told all the targets that it knows.
struct TargetsTold {
    auto fields()
    {
        return std::tie();
    }
};

// Targets that announced themselves at the sending replica of late.
struct TargetsHeard {
    std::vector<TargetKey> keys;

    auto fields()
    {
        return std::tie(keys);
    }
};

// The sending replica knows that this target drains or left.
struct TargetReceipt {
    TargetKey key{};
    TargetPhase phase = TargetPhase::Serving;

    auto fields()
    {
        return std::tie(key, phase);
    }
};

// A balancer to replicas: data of open flows to these targets was repeated, and nothing came from them since.
struct TargetsUnanswered {
    std::vector<TargetKey> keys;

    auto fields()
    {
        return std::tie(keys);
    }
};

// A replica to balancers: it tried just now to connect to these targets, in vain.
struct TargetsUnreachable {
    std::vector<TargetKey> keys;

    auto fields()
    {
        return std::tie(keys);
    }
};

// A replica's newest committed routing version. Confirmed: it heard from a quorum or its leader of late, so
// no higher version was accepted before that.
struct RoutingOffer {
    std::uint64_t version = 0;
    bool confirmed = false;

    auto fields()
    {
        return std::tie(version, confirmed);
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
                                 TargetsTold,
                                 TargetsHeard,
                                 TargetReceipt,
                                 RoutingOffer,
                                 RoutingRequest,
                                 RoutingUpdate,
                                 TargetsUnanswered,
                                 TargetsUnreachable>;

} // namespace Robinrail

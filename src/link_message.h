// SPDX-License-Identifier: MIT
// Link messages: messages between control replicas and balancers over their links.
#pragma once

#include "control_command.h"
#include "raft_message.h"

namespace Robinrail {

// Maximum size of a message on a link, bytes; a snapshot of the control state must fit.
inline constexpr std::size_t MaxLinkMessageSize = std::size_t{64} << 20U;

// A Raft message with its recipient. A replica drops messages for another cluster or another disk: a
// message to a voter whose disk was lost must not reach the replica that replaced it. `to.disk` 0 means
// any disk; a joining replica uses it as long as it does not know the disks of the others.
struct RaftEnvelope {
    std::uint64_t cluster = 0;
    ReplicaKey from;
    ReplicaKey to;
    Bytes message; // An encoded RaftMessage.

    auto fields()
    {
        return std::tie(cluster, from, to, message);
    }
};

// A balancer subscribes to the bundle versions of a replica; `version` is the one that it already has.
struct Subscribe {
    BalancerKey balancer;
    std::uint64_t version = 0;

    auto fields()
    {
        return std::tie(balancer, version);
    }
};

// A committed bundle version: a JSON Patch (RFC 6902) on baseVersion, or the whole document if baseVersion is 0.
// `digest` is the BLAKE2b-256 hash of the resulting document in its compact form.
struct BundleOffer {
    std::uint64_t version = 0;
    std::uint64_t baseVersion = 0;
    std::string document;
    std::array<std::uint8_t, 32> digest{};
    std::vector<OperatorRecord> operators;

    auto fields()
    {
        return std::tie(version, baseVersion, document, digest, operators);
    }
};

// A balancer reports that it has applied this bundle version.
struct VersionReport {
    BalancerKey balancer;
    std::uint64_t version = 0;

    auto fields()
    {
        return std::tie(balancer, version);
    }
};

// Heartbeat of a replica to a subscribed balancer: the newest bundle version that the replica knows and that
// this balancer may have, and whether the replica is in contact with a quorum.
struct ControlHeartbeat {
    std::uint64_t version = 0;
    bool inContact = false;

    auto fields()
    {
        return std::tie(version, inContact);
    }
};

// Keeps an idle link alive.
struct LinkPing {
    auto fields()
    {
        return std::tie();
    }
};

using LinkMessage = std::variant<RaftEnvelope, Subscribe, BundleOffer, VersionReport, ControlHeartbeat, LinkPing>;

} // namespace Robinrail

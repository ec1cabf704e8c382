// SPDX-License-Identifier: MIT
// Link messages: what control replicas and balancers say to each other over their links.
#pragma once

#include "control_command.h"
#include "raft_message.h"

namespace Robinrail {

// Largest message on a link, bytes; a snapshot of the control state must fit.
inline constexpr std::size_t MaxLinkMessageSize = std::size_t{64} << 20U;

// A raft message with its addressee. A replica drops what is for another cluster or another disk: a
// message to a voter whose disk was lost must not reach the replica that took its place. `to.disk` 0
// stands for any disk, for a joiner that does not know the others yet.
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

// A balancer asks a replica for its bundle versions from now on, and says which one it has.
struct Subscribe {
    BalancerKey balancer;
    std::uint64_t version = 0;

    auto fields()
    {
        return std::tie(balancer, version);
    }
};

// A committed bundle version, as a JSON Patch (RFC 6902) on baseVersion or whole with baseVersion 0.
// `digest` is the BLAKE2b-256 of the resulting document's compact form.
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

// The balancer has this version in force.
struct VersionReport {
    BalancerKey balancer;
    std::uint64_t version = 0;

    auto fields()
    {
        return std::tie(balancer, version);
    }
};

// A replica's sign of life to a subscribed balancer: the newest version that this balancer may have, as
// far as the replica knows, and whether the replica is in contact with a quorum.
struct ControlHeartbeat {
    std::uint64_t version = 0;
    bool inContact = false;

    auto fields()
    {
        return std::tie(version, inContact);
    }
};

// Keeps a link alive that has nothing else to say.
struct LinkPing {
    auto fields()
    {
        return std::tie();
    }
};

using LinkMessage = std::variant<RaftEnvelope, Subscribe, BundleOffer, VersionReport, ControlHeartbeat, LinkPing>;

} // namespace Robinrail

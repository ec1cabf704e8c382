// SPDX-License-Identifier: MIT
// Connection ids: the authenticated routing state that a caller echoes in every packet.
#pragma once

#include "types.h"

#include <array>
#include <optional>

namespace Robinrail {

// Contents of a connection id. They suffice to route a packet, because the fabric may deliver it to a
// balancer that has never seen the flow (similar to QUIC-LB and Cheetah).
struct ConnectionId {
    ServiceId service{};
    TargetId target{};
    BalancerKey owner;
    FlowId flow{};

    bool operator==(const ConnectionId &) const = default;
};

// 25 bytes of content (key version, service, target, owner, incarnation, flow), then the MAC.
inline constexpr std::size_t ConnectionIdContentSize = 25;
inline constexpr std::size_t ConnectionIdMacSize = 16;
using SealedConnectionId = std::array<std::uint8_t, ConnectionIdContentSize + ConnectionIdMacSize>;

// 128-bit SipHash key.
using MacKey = std::array<std::uint8_t, 16>;

// A key, and the version that is carried in each id sealed with it.
struct VersionedMacKey {
    std::uint8_t version = 0;
    MacKey key{};
};

// Seals and opens connection ids. Several key versions are accepted at the same time, so that keys can be rotated
// without breaking flows with older ids; new ids are sealed with the newest key only.
class ConnectionIdSealer
{
public:
    // Keys from newest to oldest; must not be empty.
    explicit ConnectionIdSealer(std::vector<VersionedMacKey> keys);

    // Packs the id and appends its MAC.
    SealedConnectionId seal(const ConnectionId &id) const;

    // Empty if the key version is unknown or the MAC does not match.
    std::optional<ConnectionId> open(const SealedConnectionId &sealed) const;

private:
    const VersionedMacKey *keyOfVersion(std::uint8_t version) const;

    std::vector<VersionedMacKey> m_keys;
};

} // namespace Robinrail

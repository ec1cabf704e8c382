// SPDX-License-Identifier: MIT
// Connection ids: round trip, key rotation, and rejection of changed, revoked and foreign ids.
#include "balancer_core.h"

#include <doctest/doctest.h>
#include <pcg_random.hpp>

using namespace Robinrail;

namespace {

const VersionedMacKey OldKey{1, {1, 2, 3}};
const VersionedMacKey NewKey{2, {4, 5, 6}};

ConnectionId someId()
{
    return {ServiceId{7}, TargetId{0xabcdef01}, {BalancerId{3}, Incarnation{1234567890123}}, FlowId{0x0123456789abcdef}};
}

} // namespace

TEST_CASE("a sealed id opens to what was sealed")
{
    const ConnectionIdSealer sealer({OldKey});
    CHECK(sealer.open(sealer.seal(someId())) == someId());
}

TEST_CASE("ids of an older key are accepted while it is listed, and not after")
{
    const SealedConnectionId sealed = ConnectionIdSealer({OldKey}).seal(someId());
    CHECK(ConnectionIdSealer({NewKey, OldKey}).open(sealed) == someId());
    CHECK_FALSE(ConnectionIdSealer({NewKey}).open(sealed));
    CHECK(ConnectionIdSealer({NewKey, OldKey}).seal(someId())[0] == NewKey.version);
}

TEST_CASE("no changed, random or foreign id is ever routed, in 1.2 million cases")
{
    BalancerSettings settings;
    settings.self = {BalancerId{3}, Incarnation{1}};
    settings.connectionIdKeys = {NewKey, OldKey};
    const BalancerCore<PartitionedSlots> core(settings);
    const ConnectionIdSealer sealer({NewKey});
    const ConnectionIdSealer revoked({VersionedMacKey{3, {7, 8, 9}}});
    pcg64 random(42);
    ConnectionId id = someId();
    id.owner = settings.self;
    int accepted = 0;
    for (int i = 0; i < 400'000; ++i) {
        id.flow = FlowId{random()};
        SealedConnectionId changed = sealer.seal(id);
        changed[random() % changed.size()] ^= static_cast<std::uint8_t>(1U << (random() % 8));
        accepted += core.route(changed, id.service) ? 1 : 0;
        accepted += core.route(sealer.seal(id), ServiceId{static_cast<std::uint16_t>(8 + random() % 1000)}) ? 1 : 0;
        accepted += core.route(revoked.seal(id), id.service) ? 1 : 0;
    }
    CHECK(accepted == 0);
    CHECK(core.route(sealer.seal(id), id.service) == settings.self);
}

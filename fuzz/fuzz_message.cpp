// SPDX-License-Identifier: MIT
// Fuzz target: an arbitrary datagram, decoded and then handled by a balancer as if from a caller, a target and a peer.
#include "balancer_core.h"

#include <cstddef>
#include <cstdint>
#include <sodium.h>

using namespace Robinrail;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    static const int SodiumReady = sodium_init();
    (void)SodiumReady;
    const std::optional<Message> message = decodeMessage<Message>({data, size});
    if (!message) {
        return 0;
    }
    BalancerSettings settings;
    settings.self = {BalancerId{1}, Incarnation{1}};
    settings.peers = {{BalancerId{1}, {1, 1}}, {BalancerId{2}, {2, 2}}};
    settings.connectionIdKeys = {{1, {1}}};
    BalancerCore<PartitionedSlots> core(settings);
    const ServiceSettings services[] = {{ServiceId{1}, "s"}};
    const TimePoint now{std::chrono::hours(1)};
    core.applyBundle(now, 1, services);
    core.tick(now);
    core.handleCaller(now, ServiceId{1}, {3, 3}, *message);
    core.handleTarget(now, {4, 4}, *message);
    core.handlePeer(now, {2, 2}, *message);
    core.tick(now + std::chrono::seconds(30));
    return 0;
}

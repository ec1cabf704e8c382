// SPDX-License-Identifier: MIT
// Fuzz target: snapshots of the control state, and datagrams and session frames that are not authenticated yet.
#include "control_state.h"
#include "datagram_authenticator.h"

#include <cstddef>
#include <cstdint>
#include <sodium.h>

using namespace Robinrail;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    static const int SodiumReady = sodium_init();
    (void)SodiumReady;
    ControlState state;
    state.restore({data, size});
    DatagramAuthenticator authenticator(ClusterKey{1}, {BalancerId{1}, Incarnation{1}});
    authenticator.open({data, size});
    SecureSession session(ClusterKey{1}, PeerRole::Control, 1, false);
    session.receive({data, size});
    session.receive({data, size});
    return 0;
}

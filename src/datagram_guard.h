// SPDX-License-Identifier: MIT
// Datagram guard: authenticates datagrams between balancers and drops replayed ones.
#pragma once

#include "connection_id.h"
#include "secure_session.h"

#include <bitset>
#include <map>
#include <optional>

namespace Robinrail {

// Bytes that the guard adds to a datagram: sender (2), incarnation (6), number (6) and MAC (8). The
// incarnation is in milliseconds and the number counts datagrams, so 48 bits last for thousands of years.
inline constexpr std::size_t DatagramAuthOverhead = 2 + 6 + 6 + 8;

// Numbers a sender's datagrams and accepts each number once, within a window for reordering.
class ReplayWindow
{
public:
    // Whether the number is new; takes it.
    bool accept(std::uint64_t number);

private:
    static constexpr std::size_t Size = 4096;
    std::bitset<Size> m_seen; // By number modulo Size.
    std::uint64_t m_highest = 0;
};

class DatagramAuthenticator
{
public:
    DatagramAuthenticator(const ClusterKey &key, BalancerKey self);

    Bytes seal(BytesView payload);

    // The sender and payload of a sound, new datagram of a run that is not older than one seen before.
    struct AuthenticatedDatagram {
        BalancerKey sender;
        BytesView payload;
    };
    std::optional<AuthenticatedDatagram> open(BytesView datagram);

private:
    struct Sender {
        Incarnation incarnation{};
        ReplayWindow window;
    };
    MacKey m_key{};
    BalancerKey m_self;
    std::uint64_t m_sent = 0;
    std::map<BalancerId, Sender> m_senders;
};

} // namespace Robinrail

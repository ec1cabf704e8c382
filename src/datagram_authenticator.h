// SPDX-License-Identifier: MIT
// Datagram authentication between balancers, with protection against replay.
#pragma once

#include "connection_id.h"
#include "secure_session.h"

#include <bitset>
#include <map>
#include <optional>

namespace Robinrail {

// Bytes added to each datagram: sender (2), incarnation (6), sequence number (6) and MAC (8). The
// incarnation is in milliseconds and the sequence number counts datagrams, so 48 bits last for thousands of years.
inline constexpr std::size_t DatagramAuthOverhead = 2 + 6 + 6 + 8;

// Sliding window over the sequence numbers of one sender: accepts each number once, in any order within the window.
class ReplayWindow
{
public:
    // Marks a sequence number as seen. Returns false if it was seen before or is older than the window.
    bool accept(std::uint64_t number);

private:
    static constexpr std::size_t Size = 4096;
    std::bitset<Size> m_seen; // Indexed by sequence number modulo Size.
    std::uint64_t m_highest = 0;
};

class DatagramAuthenticator
{
public:
    DatagramAuthenticator(const ClusterKey &key, BalancerKey self);

    // Adds the header and the MAC to a payload.
    Bytes seal(BytesView payload);

    // Verifies a datagram. Returns no value if the MAC is wrong, if the datagram is a replay, or if it was sent by an earlier
    // incarnation than one already seen from this sender.
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

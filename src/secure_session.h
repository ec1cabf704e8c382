// SPDX-License-Identifier: MIT
// Secure session: proves on each link that both ends hold the cluster key, and seals what they say.
//
// Both ends send a hello with a fresh nonce, derive one key for each direction from the cluster key and
// both nonces (keyed BLAKE2b), and send an empty sealed frame as proof. Frames are numbered, so nothing
// can be replayed, reordered or moved to another link. Contents are authenticated, not hidden.
#pragma once

#include "codec.h"

#include <optional>

namespace Robinrail {

using ClusterKey = std::array<std::uint8_t, 32>;

enum class PeerRole : std::uint8_t {
    Balancer,
    Control,
};

struct Hello {
    PeerRole role = PeerRole::Balancer;
    std::uint16_t id = 0;
    std::array<std::uint8_t, 16> nonce{};

    auto fields()
    {
        return std::tie(role, id, nonce);
    }
};

class SecureSession
{
public:
    // `dialled` tells which end opened the connection.
    SecureSession(const ClusterKey &key, PeerRole role, std::uint16_t id, bool dialled);

    // The first message to send.
    Bytes hello() const;

    enum class Event : std::uint8_t {
        SendProof, // Send proof() now.
        Established,
        Payload, // payload() has a message.
        Failed, // Close the link; say nothing more.
    };
    Event receive(BytesView message);

    Bytes proof();
    Bytes seal(BytesView payload);
    const Bytes &payload() const;
    bool established() const;

    // Who is at the other end; proven once the session is established.
    const Hello &peer() const;

private:
    static constexpr std::size_t FrameMacSize = 16;
    static constexpr std::size_t CounterSize = 8;

    ClusterKey directionKey(bool fromDialler) const;
    std::optional<BytesView> open(BytesView frame);

    ClusterKey m_key;
    bool m_dialled;
    Hello m_own;
    std::optional<Hello> m_peer;
    ClusterKey m_sendKey{};
    ClusterKey m_receiveKey{};
    std::uint64_t m_sent = 0;
    std::uint64_t m_received = 0;
    bool m_established = false;
    Bytes m_payload;
};

} // namespace Robinrail

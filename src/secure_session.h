// SPDX-License-Identifier: MIT
// Secure session: mutual authentication of a link by the cluster key, and authentication of its messages.
//
// Both ends send a hello with a fresh nonce, derive one key for each direction from the cluster key and
// both hellos (keyed BLAKE2b), and send an empty sealed frame as proof that they hold the cluster key. Frames are
// numbered, so they cannot be replayed, reordered or moved to another link. They are authenticated, not encrypted.
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
    // `dialled`: whether this end opened the connection.
    SecureSession(const ClusterKey &key, PeerRole role, std::uint16_t id, bool dialled);

    // The first message to send on the connection.
    Bytes hello() const;

    enum class Event : std::uint8_t {
        SendProof, // The peer's hello was received: send proof().
        Established, // The peer has proved that it holds the cluster key.
        Payload, // payload() returns the message received.
        Failed, // Malformed or not authentic: close the link without an answer.
    };
    Event receive(BytesView message);

    Bytes proof();

    // Encodes a frame: counter, payload and MAC.
    Bytes seal(BytesView payload);
    const Bytes &payload() const;
    bool established() const;

    // Identity of the other end, as it claims; authenticated once the session is established.
    const Hello &peer() const;

private:
    static constexpr std::size_t FrameMacSize = 16;
    static constexpr std::size_t CounterSize = 8;

    ClusterKey directionKey(bool fromDialler) const;
    std::optional<BytesView> open(BytesView frame);

    ClusterKey m_key;
    bool m_dialled;
    Hello m_localHello;
    std::optional<Hello> m_peer;
    ClusterKey m_sendKey{};
    ClusterKey m_receiveKey{};
    std::uint64_t m_sent = 0;
    std::uint64_t m_received = 0;
    bool m_established = false;
    Bytes m_payload;
};

} // namespace Robinrail

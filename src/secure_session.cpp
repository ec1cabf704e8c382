// SPDX-License-Identifier: MIT
// Secure session: key derivation and frames.
#include "secure_session.h"

#include <sodium.h>

namespace Robinrail {

namespace {

void appendCounter(Bytes &bytes, std::uint64_t counter)
{
    for (int shift = 56; shift >= 0; shift -= 8) {
        bytes.push_back(static_cast<std::uint8_t>(counter >> static_cast<unsigned>(shift)));
    }
}

} // namespace

SecureSession::SecureSession(const ClusterKey &key, PeerRole role, std::uint16_t id, bool dialled)
    : m_key(key)
    , m_dialled(dialled)
{
    m_localHello.role = role;
    m_localHello.id = id;
    randombytes_buf(m_localHello.nonce.data(), m_localHello.nonce.size());
}

Bytes SecureSession::hello() const
{
    return encodeMessage(std::variant<Hello>(m_localHello));
}

SecureSession::Event SecureSession::receive(BytesView message)
{
    if (!m_peer) {
        const auto hello = decodeMessage<std::variant<Hello>>(message);
        if (!hello) {
            return Event::Failed;
        }
        m_peer = std::get<Hello>(*hello);
        m_sendKey = directionKey(m_dialled);
        m_receiveKey = directionKey(!m_dialled);
        return Event::SendProof;
    }
    const std::optional<BytesView> payload = open(message);
    if (!payload) {
        return Event::Failed;
    }
    if (!m_established) {
        m_established = true;
        return Event::Established;
    }
    m_payload.assign(payload->begin(), payload->end());
    return Event::Payload;
}

Bytes SecureSession::proof()
{
    return seal({});
}

Bytes SecureSession::seal(BytesView payload)
{
    Bytes frame;
    frame.reserve(CounterSize + payload.size() + FrameMacSize);
    appendCounter(frame, ++m_sent);
    frame.insert(frame.end(), payload.begin(), payload.end());
    std::array<std::uint8_t, FrameMacSize> mac{};
    crypto_generichash(mac.data(), mac.size(), frame.data(), frame.size(), m_sendKey.data(), m_sendKey.size());
    frame.insert(frame.end(), mac.begin(), mac.end());
    return frame;
}

std::optional<BytesView> SecureSession::open(BytesView frame)
{
    if (frame.size() < CounterSize + FrameMacSize) {
        return std::nullopt;
    }
    const BytesView content = frame.first(frame.size() - FrameMacSize);
    std::array<std::uint8_t, FrameMacSize> mac{};
    crypto_generichash(mac.data(), mac.size(), content.data(), content.size(), m_receiveKey.data(), m_receiveKey.size());
    if (sodium_memcmp(mac.data(), frame.data() + content.size(), FrameMacSize) != 0) {
        return std::nullopt;
    }
    Bytes expected;
    appendCounter(expected, ++m_received);
    if (!std::equal(expected.begin(), expected.end(), content.begin())) {
        return std::nullopt;
    }
    return content.subspan(CounterSize);
}

const Bytes &SecureSession::payload() const
{
    return m_payload;
}

bool SecureSession::established() const
{
    return m_established;
}

const Hello &SecureSession::peer() const
{
    static const Hello UnknownPeer;
    return m_peer ? *m_peer : UnknownPeer;
}

// Derives the key of one direction from both hellos, so that the keys are bound to both identities and neither end can be
// impersonated.
ClusterKey SecureSession::directionKey(bool fromDialler) const
{
    const Hello &dialler = m_dialled ? m_localHello : *m_peer;
    const Hello &acceptor = m_dialled ? *m_peer : m_localHello;
    Bytes material = encodeMessage(std::variant<Hello>(dialler));
    const Bytes other = encodeMessage(std::variant<Hello>(acceptor));
    material.insert(material.end(), other.begin(), other.end());
    material.push_back(fromDialler ? 1 : 0);
    ClusterKey key{};
    crypto_generichash(key.data(), key.size(), material.data(), material.size(), m_key.data(), m_key.size());
    return key;
}

} // namespace Robinrail

// SPDX-License-Identifier: MIT
// Connection ids: fixed big-endian layout and SipHash-2-4-128 from libsodium.
#include "connection_id.h"

#include <cassert>
#include <sodium.h>

namespace Robinrail {

namespace {

static_assert(ConnectionIdMacSize == crypto_shorthash_siphashx24_BYTES);
static_assert(std::tuple_size_v<MacKey> == crypto_shorthash_siphashx24_KEYBYTES);

template<typename Integer>
std::uint8_t *store(std::uint8_t *at, Integer number)
{
    for (std::size_t shift = sizeof(Integer); shift-- > 0;) {
        *at++ = static_cast<std::uint8_t>(number >> (shift * 8));
    }
    return at;
}

template<typename Integer>
const std::uint8_t *load(const std::uint8_t *at, Integer &number)
{
    std::uint64_t sum = 0;
    for (std::size_t i = 0; i < sizeof(Integer); ++i) {
        sum = (sum << 8) | *at++;
    }
    number = static_cast<Integer>(sum);
    return at;
}

void computeMac(const std::uint8_t *content, const MacKey &key, std::uint8_t *mac)
{
    crypto_shorthash_siphashx24(mac, content, ConnectionIdContentSize, key.data());
}

} // namespace

ConnectionIdSealer::ConnectionIdSealer(std::vector<VersionedMacKey> keys)
    : m_keys(std::move(keys))
{
    assert(!m_keys.empty());
}

SealedConnectionId ConnectionIdSealer::seal(const ConnectionId &id) const
{
    SealedConnectionId sealed{};
    std::uint8_t *at = sealed.data();
    at = store(at, m_keys.front().version);
    at = store(at, value(id.service));
    at = store(at, value(id.target));
    at = store(at, value(id.owner.id));
    at = store(at, value(id.owner.incarnation));
    at = store(at, value(id.flow));
    assert(at == sealed.data() + ConnectionIdContentSize);
    computeMac(sealed.data(), m_keys.front().key, at);
    return sealed;
}

std::optional<ConnectionId> ConnectionIdSealer::open(const SealedConnectionId &sealed) const
{
    const VersionedMacKey *key = keyOfVersion(sealed[0]);
    if (key == nullptr) {
        return std::nullopt;
    }
    std::array<std::uint8_t, ConnectionIdMacSize> mac{};
    computeMac(sealed.data(), key->key, mac.data());
    if (sodium_memcmp(mac.data(), sealed.data() + ConnectionIdContentSize, mac.size()) != 0) {
        return std::nullopt;
    }
    ConnectionId id;
    const std::uint8_t *at = sealed.data() + 1;
    at = load(at, id.service);
    at = load(at, id.target);
    at = load(at, id.owner.id);
    at = load(at, id.owner.incarnation);
    load(at, id.flow);
    return id;
}

const VersionedMacKey *ConnectionIdSealer::keyOfVersion(std::uint8_t version) const
{
    for (const VersionedMacKey &key : m_keys) {
        if (key.version == version) {
            return &key;
        }
    }
    return nullptr;
}

} // namespace Robinrail

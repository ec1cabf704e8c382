// SPDX-License-Identifier: MIT
// Signatures: implementation with libsodium.
#include "signature.h"

#include <sodium.h>

namespace Robinrail {

static_assert(std::tuple_size_v<PublicKey> == crypto_sign_PUBLICKEYBYTES);
static_assert(std::tuple_size_v<SecretKey> == crypto_sign_SECRETKEYBYTES);
static_assert(std::tuple_size_v<Signature> == crypto_sign_BYTES);

KeyPair generateKeyPair()
{
    KeyPair pair;
    crypto_sign_keypair(pair.publicKey.data(), pair.secretKey.data());
    return pair;
}

Signature sign(BytesView message, const SecretKey &key)
{
    Signature signature{};
    crypto_sign_detached(signature.data(), nullptr, message.data(), message.size(), key.data());
    return signature;
}

bool verify(BytesView message, const Signature &signature, const PublicKey &key)
{
    return crypto_sign_verify_detached(signature.data(), message.data(), message.size(), key.data()) == 0;
}

std::string toHex(BytesView bytes)
{
    std::string text(bytes.size() * 2 + 1, '\0');
    sodium_bin2hex(text.data(), text.size(), bytes.data(), bytes.size());
    text.pop_back();
    return text;
}

bool fromHex(std::string_view text, std::span<std::uint8_t> bytes)
{
    std::size_t length = 0;
    const int result = sodium_hex2bin(bytes.data(), bytes.size(), text.data(), text.size(), nullptr, &length, nullptr);
    return result == 0 && length == bytes.size() && text.size() == bytes.size() * 2;
}

} // namespace Robinrail

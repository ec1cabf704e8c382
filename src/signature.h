// SPDX-License-Identifier: MIT
// Signatures: Ed25519 (RFC 8032) keys of operators, and hex encoding.
#pragma once

#include "types.h"

#include <array>
#include <optional>
#include <string>
#include <string_view>

namespace Robinrail {

using PublicKey = std::array<std::uint8_t, 32>;
using SecretKey = std::array<std::uint8_t, 64>;
using Signature = std::array<std::uint8_t, 64>;

struct KeyPair {
    PublicKey publicKey{};
    SecretKey secretKey{};
};

KeyPair generateKeyPair();

Signature sign(BytesView message, const SecretKey &key);
bool verify(BytesView message, const Signature &signature, const PublicKey &key);

// Encodes as lower-case hex. fromHex() returns false unless the text is hex for exactly `bytes.size()` bytes.
std::string toHex(BytesView bytes);
bool fromHex(std::string_view text, std::span<std::uint8_t> bytes);

} // namespace Robinrail

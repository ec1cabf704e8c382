// SPDX-License-Identifier: MIT
// Datagram authentication: SipHash-2-4 with a key derived from the cluster key.
#include "datagram_authenticator.h"

#include <sodium.h>

#include <string_view>

namespace Robinrail {

namespace {

constexpr std::string_view KeyDerivationContext = "robinrail-datagram-v1";
constexpr std::size_t SenderSize = 2;
constexpr std::size_t Uint48Size = 6;
constexpr std::size_t HeaderSize = SenderSize + 2 * Uint48Size;
constexpr std::size_t MacSize = 8;
static_assert(HeaderSize + MacSize == DatagramAuthOverhead);
static_assert(MacSize == crypto_shorthash_siphash24_BYTES);

void appendInteger(Bytes &bytes, std::uint64_t number, std::size_t size)
{
    for (std::size_t shift = size; shift-- > 0;) {
        bytes.push_back(static_cast<std::uint8_t>(number >> (shift * 8)));
    }
}

std::uint64_t readInteger(BytesView bytes)
{
    std::uint64_t number = 0;
    for (const std::uint8_t byte : bytes) {
        number = number << 8U | byte;
    }
    return number;
}

} // namespace

bool ReplayWindow::accept(std::uint64_t number)
{
    if (number + Size <= m_highest) {
        return false;
    }
    if (number > m_highest) {
        if (number - m_highest >= Size) {
            m_seen.reset();
        } else {
            for (std::uint64_t skipped = m_highest + 1; skipped <= number; ++skipped) {
                m_seen.reset(skipped % Size);
            }
        }
        m_highest = number;
    }
    if (m_seen.test(number % Size)) {
        return false;
    }
    m_seen.set(number % Size);
    return true;
}

DatagramAuthenticator::DatagramAuthenticator(const ClusterKey &key, BalancerKey self)
    : m_self(self)
{
    crypto_generichash(
        m_key.data(), m_key.size(), reinterpret_cast<const unsigned char *>(KeyDerivationContext.data()), KeyDerivationContext.size(), key.data(), key.size());
}

Bytes DatagramAuthenticator::seal(BytesView payload)
{
    Bytes bytes;
    bytes.reserve(payload.size() + DatagramAuthOverhead);
    appendInteger(bytes, value(m_self.id), SenderSize);
    appendInteger(bytes, value(m_self.incarnation), Uint48Size);
    appendInteger(bytes, ++m_sent, Uint48Size);
    bytes.insert(bytes.end(), payload.begin(), payload.end());
    std::array<std::uint8_t, MacSize> mac{};
    crypto_shorthash_siphash24(mac.data(), bytes.data(), bytes.size(), m_key.data());
    bytes.insert(bytes.end(), mac.begin(), mac.end());
    return bytes;
}

std::optional<DatagramAuthenticator::AuthenticatedDatagram> DatagramAuthenticator::open(BytesView datagram)
{
    if (datagram.size() < DatagramAuthOverhead) {
        return std::nullopt;
    }
    const BytesView content = datagram.first(datagram.size() - MacSize);
    std::array<std::uint8_t, MacSize> mac{};
    crypto_shorthash_siphash24(mac.data(), content.data(), content.size(), m_key.data());
    if (sodium_memcmp(mac.data(), datagram.data() + content.size(), MacSize) != 0) {
        return std::nullopt;
    }
    AuthenticatedDatagram opened;
    opened.sender.id = BalancerId{static_cast<std::uint16_t>(readInteger(content.first(SenderSize)))};
    opened.sender.incarnation = Incarnation{readInteger(content.subspan(SenderSize, Uint48Size))};
    const std::uint64_t number = readInteger(content.subspan(SenderSize + Uint48Size, Uint48Size));
    opened.payload = content.subspan(HeaderSize);
    Sender &sender = m_senders[opened.sender.id];
    if (opened.sender.incarnation < sender.incarnation) {
        return std::nullopt;
    }
    if (opened.sender.incarnation > sender.incarnation) {
        sender = {opened.sender.incarnation, {}};
    }
    return sender.window.accept(number) ? std::optional(opened) : std::nullopt;
}

} // namespace Robinrail

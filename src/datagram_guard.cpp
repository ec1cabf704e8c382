// SPDX-License-Identifier: MIT
// Datagram guard: SipHash-2-4-128 with a key derived from the cluster key.
#include "datagram_guard.h"

#include <sodium.h>

#include <string_view>

namespace Robinrail {

namespace {

constexpr std::string_view Purpose = "robinrail-datagram-v1";
constexpr std::size_t HeaderSize = 2 + 8 + 8;
constexpr std::size_t MacSize = 16;

template<typename Integer>
void appendInteger(Bytes &bytes, Integer number)
{
    for (std::size_t shift = sizeof(Integer); shift-- > 0;) {
        bytes.push_back(static_cast<std::uint8_t>(static_cast<std::uint64_t>(number) >> (shift * 8)));
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

bool ReplayWindow::take(std::uint64_t number)
{
    if (number + Size <= m_highest) {
        return false;
    }
    if (number > m_highest) {
        if (number - m_highest >= Size) {
            m_seen.reset();
        } else {
            for (std::uint64_t passed = m_highest + 1; passed <= number; ++passed) {
                m_seen.reset(passed % Size);
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

DatagramGuard::DatagramGuard(const ClusterKey &key, BalancerKey self)
    : m_self(self)
{
    crypto_generichash(m_key.data(), m_key.size(), reinterpret_cast<const unsigned char *>(Purpose.data()), Purpose.size(), key.data(), key.size());
}

Bytes DatagramGuard::seal(BytesView payload)
{
    Bytes bytes;
    bytes.reserve(payload.size() + GuardOverhead);
    appendInteger(bytes, value(m_self.id));
    appendInteger(bytes, value(m_self.incarnation));
    appendInteger(bytes, ++m_sent);
    bytes.insert(bytes.end(), payload.begin(), payload.end());
    std::array<std::uint8_t, MacSize> mac {};
    crypto_shorthash_siphashx24(mac.data(), bytes.data(), bytes.size(), m_key.data());
    bytes.insert(bytes.end(), mac.begin(), mac.end());
    return bytes;
}

std::optional<DatagramGuard::Opened> DatagramGuard::open(BytesView datagram)
{
    if (datagram.size() < GuardOverhead) {
        return std::nullopt;
    }
    const BytesView content = datagram.first(datagram.size() - MacSize);
    std::array<std::uint8_t, MacSize> mac {};
    crypto_shorthash_siphashx24(mac.data(), content.data(), content.size(), m_key.data());
    if (sodium_memcmp(mac.data(), datagram.data() + content.size(), MacSize) != 0) {
        return std::nullopt;
    }
    Opened opened;
    opened.sender.id = BalancerId { static_cast<std::uint16_t>(readInteger(content.first(2))) };
    opened.sender.incarnation = Incarnation { readInteger(content.subspan(2, 8)) };
    const std::uint64_t number = readInteger(content.subspan(10, 8));
    opened.payload = content.subspan(HeaderSize);
    Sender &sender = m_senders[opened.sender.id];
    if (opened.sender.incarnation < sender.incarnation) {
        return std::nullopt;
    }
    if (opened.sender.incarnation > sender.incarnation) {
        sender = { opened.sender.incarnation, {} };
    }
    return sender.window.take(number) ? std::optional(opened) : std::nullopt;
}

} // namespace Robinrail

// SPDX-License-Identifier: MIT
// CBOR writer: encoding of item heads (RFC 8949, section 3).
#include "cbor_writer.h"

#include <utility>

namespace Robinrail::detail {

namespace {

constexpr std::uint8_t False = 0xf4;
constexpr std::uint8_t True = 0xf5;
constexpr std::uint8_t Null = 0xf6;

// Arguments below this are encoded in the initial byte itself.
constexpr std::uint64_t InlineArgumentLimit = 24;

// Additional information in the initial byte for an argument of 1 byte; 25, 26 and 27 stand for 2, 4 and 8 bytes.
constexpr unsigned OneByteArgument = 24;
constexpr unsigned EightByteArgument = 27;

} // namespace

void CborWriter::head(Major major, std::uint64_t number)
{
    const auto type = static_cast<unsigned>(major);
    if (number < InlineArgumentLimit) {
        m_bytes.push_back(static_cast<std::uint8_t>(type | number));
        return;
    }
    unsigned width = OneByteArgument;
    int bits = 8;
    while (width < EightByteArgument && number >> static_cast<unsigned>(bits) != 0) {
        ++width;
        bits *= 2;
    }
    m_bytes.push_back(static_cast<std::uint8_t>(type | width));
    for (int shift = bits - 8; shift >= 0; shift -= 8) {
        m_bytes.push_back(static_cast<std::uint8_t>(number >> static_cast<unsigned>(shift)));
    }
}

void CborWriter::number(std::uint64_t number)
{
    head(Major::Unsigned, number);
}

void CborWriter::number(std::int64_t number)
{
    if (number < 0) {
        head(Major::Negative, static_cast<std::uint64_t>(-1 - number));
    } else {
        head(Major::Unsigned, static_cast<std::uint64_t>(number));
    }
}

void CborWriter::boolean(bool flag)
{
    m_bytes.push_back(flag ? True : False);
}

void CborWriter::null()
{
    m_bytes.push_back(Null);
}

void CborWriter::text(std::string_view text)
{
    head(Major::Text, text.size());
    m_bytes.insert(m_bytes.end(), text.begin(), text.end());
}

void CborWriter::binary(BytesView bytes)
{
    head(Major::Binary, bytes.size());
    m_bytes.insert(m_bytes.end(), bytes.begin(), bytes.end());
}

void CborWriter::array(std::size_t items)
{
    head(Major::Array, items);
}

Bytes CborWriter::take()
{
    return std::exchange(m_bytes, {});
}

} // namespace Robinrail::detail

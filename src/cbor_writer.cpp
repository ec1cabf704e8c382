// SPDX-License-Identifier: MIT
// CBOR writer: implementation.
#include "cbor_writer.h"

#include <utility>

namespace Robinrail::detail {

namespace {

constexpr std::uint8_t False = 0xf4;
constexpr std::uint8_t True = 0xf5;
constexpr std::uint8_t Null = 0xf6;

// Numbers below this stand in the first byte.
constexpr std::uint64_t SmallNumbers = 24;

// The first byte, beside the major type, of a number that follows in 1 byte; then come 2, 4 and 8.
constexpr unsigned OneByte = 24;
constexpr unsigned EightBytes = 27;

} // namespace

void CborWriter::head(Major major, std::uint64_t number)
{
    const auto type = static_cast<unsigned>(major);
    if (number < SmallNumbers) {
        m_bytes.push_back(static_cast<std::uint8_t>(type | number));
        return;
    }
    unsigned width = OneByte;
    int bits = 8;
    while (width < EightBytes && number >> static_cast<unsigned>(bits) != 0) {
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

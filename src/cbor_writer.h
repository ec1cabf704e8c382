// SPDX-License-Identifier: MIT
// CBOR writer: streaming encoder for CBOR (RFC 8949) that uses the shortest form of every item.
//
// A replica encodes its whole target directory after each change, for its disk and for its followers. A DOM tree would cost
// one allocation for each record and several times the size of the encoded text in memory.
#pragma once

#include "types.h"

#include <string_view>

namespace Robinrail::detail {

class CborWriter
{
public:
    void number(std::uint64_t number);
    void number(std::int64_t number);
    void boolean(bool flag);
    void null();
    void text(std::string_view text);
    void binary(BytesView bytes);

    // Starts an array; the caller then writes this number of items.
    void array(std::size_t items);

    // Returns the encoded bytes and clears the writer.
    Bytes take();

private:
    enum class Major : std::uint8_t {
        Unsigned = 0x00,
        Negative = 0x20,
        Binary = 0x40,
        Text = 0x60,
        Array = 0x80,
    };

    void head(Major major, std::uint64_t number);

    Bytes m_bytes;
};

} // namespace Robinrail::detail

// SPDX-License-Identifier: MIT
// CBOR writer: writes the text of RFC 8949 in order, in its shortest form, without a tree of it.
//
// A replica writes its whole directory after each change, to its disk and to those that follow it. A tree costs an
// allocation for each record and several times the text's size in memory.
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

    // So many items follow.
    void array(std::size_t items);

    // What was written; the writer is empty afterwards.
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

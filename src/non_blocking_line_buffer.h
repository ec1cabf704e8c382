// SPDX-License-Identifier: MIT
// Non-blocking line buffer: a stream buffer that drops lines if the reader of the descriptor is too slow, so that logging
// never blocks the process.
#pragma once

#include <cstdint>
#include <streambuf>
#include <string>

namespace Robinrail {

class NonBlockingLineBuffer : public std::streambuf
{
public:
    // Writes to an open descriptor, without taking ownership of it.
    explicit NonBlockingLineBuffer(int descriptor);

    // Number of lines dropped so far.
    std::uint64_t dropped() const;

protected:
    std::streamsize xsputn(const char *text, std::streamsize count) override;
    int_type overflow(int_type character) override;
    int sync() override;

private:
    void writeLines();

    int m_descriptor;
    std::string m_partialLine; // Text that no newline has followed yet.
    std::uint64_t m_dropped = 0;
};

} // namespace Robinrail

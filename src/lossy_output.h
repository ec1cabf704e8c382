// SPDX-License-Identifier: MIT
// Lossy output: a stream buffer that drops what its reader is too slow for, so that a log never blocks.
#pragma once

#include <cstdint>
#include <streambuf>
#include <string>

namespace Robinrail {

class NonBlockingLineBuffer : public std::streambuf
{
public:
    // Writes to an open descriptor, which stays its owner's.
    explicit NonBlockingLineBuffer(int descriptor);

    // Lines that were dropped so far.
    std::uint64_t dropped() const;

protected:
    std::streamsize xsputn(const char *text, std::streamsize count) override;
    int_type overflow(int_type character) override;
    int sync() override;

private:
    void writeLines();

    int m_descriptor;
    std::string m_pending; // The beginning of a line.
    std::uint64_t m_dropped = 0;
};

} // namespace Robinrail

// SPDX-License-Identifier: MIT
// Non-blocking line buffer: line splitting and writing.
#include "non_blocking_line_buffer.h"

#include <climits>
#include <poll.h>
#include <unistd.h>

namespace Robinrail {

namespace {

// Whether a line of up to PIPE_BUF bytes can be written without blocking (pipe(7)).
bool isWritable(int descriptor)
{
    pollfd query{descriptor, POLLOUT, 0};
    return ::poll(&query, 1, 0) == 1 && (query.revents & POLLOUT) != 0;
}

} // namespace

NonBlockingLineBuffer::NonBlockingLineBuffer(int descriptor)
    : m_descriptor(descriptor)
{
}

std::uint64_t NonBlockingLineBuffer::dropped() const
{
    return m_dropped;
}

std::streamsize NonBlockingLineBuffer::xsputn(const char *text, std::streamsize count)
{
    m_partialLine.append(text, static_cast<std::size_t>(count));
    writeLines();
    return count;
}

NonBlockingLineBuffer::int_type NonBlockingLineBuffer::overflow(int_type character)
{
    if (character != traits_type::eof()) {
        m_partialLine.push_back(static_cast<char>(character));
        writeLines();
    }
    return traits_type::not_eof(character);
}

int NonBlockingLineBuffer::sync()
{
    return 0;
}

// Writes each complete line with one system call; truncates lines longer than PIPE_BUF, which a pipe would not take atomically.
void NonBlockingLineBuffer::writeLines()
{
    for (std::size_t end = m_partialLine.find('\n'); end != std::string::npos; end = m_partialLine.find('\n')) {
        std::string line = m_partialLine.substr(0, end);
        m_partialLine.erase(0, end + 1);
        line.resize(std::min<std::size_t>(line.size(), PIPE_BUF - 1));
        line.push_back('\n');
        const bool written = isWritable(m_descriptor) && ::write(m_descriptor, line.data(), line.size()) == static_cast<ssize_t>(line.size());
        m_dropped += written ? 0 : 1;
    }
}

} // namespace Robinrail

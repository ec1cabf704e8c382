// SPDX-License-Identifier: MIT
// Background file: replaces a small file in a thread of its own, so that a slow disk holds up nothing else.
#pragma once

#include "types.h"

#include <boost/asio/thread_pool.hpp>

#include <atomic>
#include <filesystem>

namespace Robinrail {

class AsyncFileWriter
{
public:
    explicit AsyncFileWriter(std::filesystem::path path);

    // Waits for a write that is under way.
    ~AsyncFileWriter();
    AsyncFileWriter(const AsyncFileWriter &) = delete;
    AsyncFileWriter &operator=(const AsyncFileWriter &) = delete;

    // Begins to write, whole and synced; false if the write before is still under way. Failures are counted
    // and logged with their reason.
    bool replace(Bytes bytes);

    std::uint64_t failures() const;

private:
    std::filesystem::path m_path;
    std::atomic<bool> m_busy = false;
    std::atomic<std::uint64_t> m_failures = 0;
    boost::asio::thread_pool m_pool;
};

} // namespace Robinrail

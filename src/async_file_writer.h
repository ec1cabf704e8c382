// SPDX-License-Identifier: MIT
// Asynchronous file writer: replaces a small file in a separate thread, so that a slow disk does not block the event loop.
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

    // Waits for a write in progress.
    ~AsyncFileWriter();
    AsyncFileWriter(const AsyncFileWriter &) = delete;
    AsyncFileWriter &operator=(const AsyncFileWriter &) = delete;

    // Starts to replace the file atomically, with a sync; false if the previous write is still in progress.
    // Failures are counted and logged with their reason.
    bool replace(Bytes bytes);

    std::uint64_t failures() const;

private:
    std::filesystem::path m_path;
    std::atomic<bool> m_busy = false;
    std::atomic<std::uint64_t> m_failures = 0;
    boost::asio::thread_pool m_pool;
};

} // namespace Robinrail

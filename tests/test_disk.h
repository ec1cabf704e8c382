// SPDX-License-Identifier: MIT
// Test disk: a temporary data folder and a simulated full disk.
#pragma once

#include <csignal>
#include <cstdint>
#include <filesystem>
#include <string>
#include <sys/resource.h>
#include <unistd.h>

namespace Robinrail {

// A new temporary folder, removed at the end of the scope.
class TemporaryFolder
{
public:
    TemporaryFolder()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "robinrail-test-XXXXXX").string();
        m_path = ::mkdtemp(pattern.data());
    }
    TemporaryFolder(const TemporaryFolder &) = delete;
    TemporaryFolder &operator=(const TemporaryFolder &) = delete;
    ~TemporaryFolder()
    {
        std::filesystem::remove_all(m_path);
    }
    const std::filesystem::path &path() const
    {
        return m_path;
    }

private:
    std::filesystem::path m_path;
};

// Limits the file size of this process while it exists, so that writes fail as on a full disk.
class FullDisk
{
public:
    explicit FullDisk(std::uint64_t bytes)
    {
        std::signal(SIGXFSZ, SIG_IGN);
        ::getrlimit(RLIMIT_FSIZE, &m_before);
        rlimit small = m_before;
        small.rlim_cur = bytes;
        ::setrlimit(RLIMIT_FSIZE, &small);
    }
    FullDisk(const FullDisk &) = delete;
    FullDisk &operator=(const FullDisk &) = delete;
    ~FullDisk()
    {
        ::setrlimit(RLIMIT_FSIZE, &m_before);
    }

private:
    rlimit m_before{};
};

} // namespace Robinrail
